"""What a VM of the users' platform loads, as it pays for memory by the process."""

import subprocess
import sys

COUNT = """
import sys
# The HTTP client loads them for its command line if they are there; on a VM they are not.
sys.modules.update(dict.fromkeys(["rich", "pygments"]))
import godwitmast.platform.__main__
print(len(sys.modules), "pydantic" in sys.modules)
"""

MOST_MODULES = 640


def test_process_of_the_platform_loads_no_more_than_it_uses() -> None:
    """Hundreds of VMs at 45 MB each did not fit; 10 MB of that was never used."""
    done = subprocess.run(
        [sys.executable, "-c", COUNT], capture_output=True, text=True, check=True
    )
    modules, has_pydantic = done.stdout.split()
    assert has_pydantic == "False"
    assert int(modules) <= MOST_MODULES
