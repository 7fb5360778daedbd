// Random interleavings of requests, repeats, crashes, restarts, network faults, configuration
// changes and target failures with 3 to 5 cores. Each property checks the guarantees of the design,
// section 1.2: one answer per handle, postings run at most once, "not run" only if it is true, no
// request at a target of another service, slots within their limit, configuration versions that
// never decrease.
#include "tests/property/properties.h"

int main()
{
	bool ok = true;

	fix_params("200");
	ok &= holds("guarantees hold while instances crash, stop and start",
		    {Kind::Kill, Kind::Vanish, Kind::Restart, Kind::Restart, Kind::Stop}, 3000);
	ok &= holds("guarantees hold while the network loses and delays messages",
		    {Kind::Cut, Kind::CutOneWay, Kind::Heal, Kind::Loss, Kind::Late}, 4000);
	ok &= holds("guarantees hold while configurations and targets change",
		    {Kind::Change, Kind::Change, Kind::Restore, Kind::PlatformDown,
		     Kind::PlatformUp, Kind::TargetDown, Kind::TargetLosing, Kind::TargetRefuses,
		     Kind::TargetUp},
		    3000);
	ok &= holds("guarantees hold under all disturbances together",
		    {Kind::Kill, Kind::Vanish, Kind::Restart, Kind::Stop, Kind::Cut, Kind::Heal,
		     Kind::Loss, Kind::Late, Kind::Change, Kind::Restore, Kind::PlatformDown,
		     Kind::PlatformUp, Kind::TargetDown, Kind::TargetLosing, Kind::TargetRefuses,
		     Kind::TargetUp},
		    3000);
	return ok ? 0 : 1;
}
