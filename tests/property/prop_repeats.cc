// Copies of one idempotent request: guards against a refusal that says "not run" to one copy while
// another copy has run or runs later. Listed in KNOWN-RED.txt.
#include "tests/property/properties.h"

int main()
{
	fix_params("100 noshrink=1");
	return holds("no copy of a request that ran is told that it was not run",
		     {Kind::Kill, Kind::Vanish, Kind::Restart, Kind::Restart, Kind::Stop}, 3000,
		     true)
		       ? 0
		       : 1;
}
