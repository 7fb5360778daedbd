// Duplicates of an idempotent request: guards against refusing one as not run while another one has
// run or runs later.
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
