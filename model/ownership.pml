/*
 * Ownership of one target among the three instances of a data centre (docs/design.md, 3.2).
 *
 * Instance 0 ranks above 1 above 2: the home in a view is the lowest number that is live there.
 * Time is a global tick that may happen between any two steps, so a paused instance is one that
 * takes no step while ticks pass. A lease lasts LEASE ticks from the owner's send; silence counts
 * as death LEASE + 1 ticks after the last receipt. A renewal carries what is left of the lease when it
 * arrives, so that late echoes are covered. Messages of one link arrive in order: no renewal
 * overtakes a grant. Grants may be lost or late; any two instances may fail to hear each other,
 * in one direction or both, for any time.
 *
 * Safety: no two instances may use the target at the same time.
 * Each safeguard can be removed by a macro; the check must then fail:
 *   NO_VOID     a grant stays valid after the lease from its granter has lapsed
 *   NO_RECORD   granters forget whom they granted to
 *   NO_MAJORITY one grant is enough
 *   NO_WAIT     a restarted instance, which has forgotten its grants, votes at once
 * The margin between lease and death is for clocks of different rate, which are not modelled.
 */
#ifndef LEASE
#define LEASE 1
#endif
#define PATIENCE (LEASE + 1)
#define N 3
#define ix(i, p) ((i) * N + (p))

byte lease[N * N]; /* ix(i, p): what is left of i's lease from p */
byte heard[N * N]; /* ix(p, i): time until p takes i for dead */
bit reply[N * N];  /* ix(i, p): grant from p to i under way */
bit grants[N * N]; /* ix(i, p): i holds p's grant */
byte need[N * N];  /* possible owners that must have released before that grant counts */
byte record[N];	   /* possible owners as p knows them, as a mask */
byte voteless[N];  /* time for which a restarted instance does not vote */
bit restarted = 0; /* one restart is enough, and keeps the number of states small */

#define live(v, x) ((v) == (x) || heard[ix(v, x)] > 0)
#define home(v) (live(v, 0) -> 0 : (live(v, 1) -> 1 : 2))
#define MET(i, p)                                                                                  \
	(grants[ix(i, p)] && (!(need[ix(i, p)] & 1) || grants[ix(i, 0)]) &&                        \
	 (!(need[ix(i, p)] & 2) || grants[ix(i, 1)]) && (!(need[ix(i, p)] & 4) || grants[ix(i, 2)]))
#ifdef NO_MAJORITY
#define USES(i) (MET(i, 0) + MET(i, 1) + MET(i, 2) >= 1)
#else
#define USES(i) (MET(i, 0) + MET(i, 1) + MET(i, 2) >= 2)
#endif

inline pick()
{
	if
	:: p = 0
	:: p = 1
	:: p = 2
	fi
}

inline void_grant(v)
{
	grants[v] = 0;
	need[v] = 0
}

/* Instance i stops being owner; grants under way belong to an older epoch and are ignored. */
inline give_up()
{
	void_grant(ix(i, 0));
	void_grant(ix(i, 1));
	void_grant(ix(i, 2));
	reply[ix(i, 0)] = 0;
	reply[ix(i, 1)] = 0;
	reply[ix(i, 2)] = 0
}

/* Possible owners that granter g cannot rule out, other than the claimant c and g itself. */
inline open_owners(g, c)
{
	mask = record[g] & ~(1 << c) & ~(1 << g);
	if
	:: !live(g, 0) -> mask = mask & ~1
	:: else
	fi;
	if
	:: !live(g, 1) -> mask = mask & ~2
	:: else
	fi;
	if
	:: !live(g, 2) -> mask = mask & ~4
	:: else
	fi
}

inline grant(gr, cl)
{
	open_owners(gr, cl);
#ifdef NO_RECORD
	mask = 0;
#endif
	need[ix(cl, gr)] = mask;
	record[gr] = mask | (1 << cl);
	mask = 0
}

active proctype clock()
{
	byte k;
	do
	:: atomic {
		for (k : 0 .. 8) {
			if
			:: lease[k] > 0 ->
				lease[k]--;
#ifndef NO_VOID
				if
				:: lease[k] == 0 -> void_grant(k)
				:: else
				fi
#endif
			:: else
			fi;
			if
			:: heard[k] > 0 -> heard[k]--
			:: else
			fi
		}
		for (k : 0 .. 2) {
			if
			:: voteless[k] > 0 -> voteless[k]--
			:: else
			fi
		}
		k = 0
	}
	od
}

proctype instance(byte i)
{
	byte p, mask;
	do
	/* use of the target */
	:: atomic {
		USES(i) ->
		assert(!(USES(0) && USES(1)) && !(USES(0) && USES(2)) && !(USES(1) && USES(2)))
	}
	/* hear p */
	:: atomic {
		pick();
		if
		:: p != i -> heard[ix(i, p)] = PATIENCE
		:: else
		fi;
		p = 0
	}
	/* p's echo renews the lease; it cannot overtake p's grant */
	:: atomic {
		pick();
		if
		:: p != i && !reply[ix(i, p)] && heard[ix(p, i)] > PATIENCE - LEASE &&
		   heard[ix(p, i)] - (PATIENCE - LEASE) > lease[ix(i, p)] ->
			lease[ix(i, p)] = heard[ix(p, i)] - (PATIENCE - LEASE)
		:: else
		fi;
		p = 0
	}
	/* the own vote, by the same rule as for others */
	:: atomic {
		home(i) == i && !grants[ix(i, i)] && voteless[i] == 0 ->
		grant(i, i);
		grants[ix(i, i)] = 1
	}
	/* answer the claim of p; a possible owner releases by granting */
	:: atomic {
		pick();
		if
		:: p != i && home(p) == p && home(i) == p && voteless[i] == 0 && !reply[ix(p, i)] && !grants[ix(p, i)] ->
			give_up();
			grant(i, p);
			reply[ix(p, i)] = 1
		:: else
		fi;
		p = 0
	}
	/* receive p's grant; without a lease from p it may be old and is dropped */
	:: atomic {
		pick();
		if
		:: p != i && reply[ix(i, p)] ->
			reply[ix(i, p)] = 0;
			if
#ifdef NO_VOID
			:: true -> grants[ix(i, p)] = 1
#else
			:: lease[ix(i, p)] > 0 -> grants[ix(i, p)] = 1
			:: else -> need[ix(i, p)] = 0
#endif
			fi
		:: else
		fi;
		p = 0
	}
	/* p's grant is lost with the link */
	:: atomic {
		pick();
		if
		:: reply[ix(i, p)] ->
			reply[ix(i, p)] = 0;
			need[ix(i, p)] = 0
		:: else
		fi;
		p = 0
	}
	/* restart: nothing is kept; leases that the earlier process granted go on with their holders */
	:: atomic {
		!restarted ->
		restarted = 1;
		give_up();
		record[i] = 0;
		lease[ix(i, 0)] = 0;
		lease[ix(i, 1)] = 0;
		lease[ix(i, 2)] = 0;
		heard[ix(i, 0)] = 0;
		heard[ix(i, 1)] = 0;
		heard[ix(i, 2)] = 0;
#ifndef NO_WAIT
		voteless[i] = LEASE + 1
#endif
	}
	od
}

init {
	atomic {
		run instance(0);
		run instance(1);
		run instance(2)
	}
}
