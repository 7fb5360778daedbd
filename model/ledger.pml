/*
 * One posting, its tickets and two incarnations that may serve it (docs/design.md, 3.5).
 *
 * Ticket 0 is issued by incarnation 0, ticket 1 by incarnation 1; ticket 1 is given to the caller only with
 * the statement that ticket 0 was not and will not be run. Packets may be repeated, late and out of
 * order, so any ticket that the caller has used may arrive anywhere at any later time. Incarnation 0
 * may lose and regain the target, hand its ledger over, die, or be taken for dead while it lives.
 *
 * Safety: the posting runs at most once, and a ticket that was called "not run" never runs.
 * Each safeguard can be removed by a macro; the check must then fail:
 *   NO_FENCE   an incarnation runs a ticket of another one that it does not know
 *   NO_SEAL    handing over does not seal the unused tickets
 *   NO_KEEP    the ledger forgets an entry while its ticket may still run
 *   NO_AGE     an old ticket may still run
 *   NO_AGE_COPY  a handed-over ledger says "not run" of tickets that it may have forgotten
 *   NO_MARK    a request is sent before its entry is in the ledger
 */
mtype = {absent, queued, sent, answered, unknown, sealed};

mtype entry0 = absent; /* ticket 0 at incarnation 0 */
mtype entry1 = absent; /* ticket 1 at incarnation 1 */
mtype copy0 = absent;  /* what incarnation 1 was handed over about ticket 0 */
bit handed = 0;	       /* the hand-over was complete */
bit sealed_before = 0; /* incarnation 0 sealed all tickets issued before the hand-over */
bit alive0 = 1, owns0 = 1;
byte age0 = 0;	       /* ticket 0: 0 young, 1 old, 2 too old to tell */
byte runs0 = 0, runs1 = 0;
bit used0 = 0, used1 = 0;   /* the caller has sent packets with this ticket */
bit not_run0 = 0, not_run1 = 0; /* the caller was told "not run" */
bit told1 = 0;		    /* the caller holds ticket 1 */

#define SAFE (runs0 + runs1 <= 1 && !(not_run0 && runs0 > 0) && !(not_run1 && runs1 > 0))

/* Final: "not run", with the ticket of the other incarnation. */
inline refuse0()
{
	not_run0 = 1;
	told1 = 1
}

proctype caller()
{
	do
	:: used0 = 1
	:: atomic { told1 -> used1 = 1 }
	od
}

proctype time()
{
	atomic { age0 == 0 -> age0 = 1 };
	atomic { age0 == 1 -> age0 = 2 }
}

proctype incarnation0()
{
	do
	:: !alive0 -> break
	/* a packet with ticket 0 */
	:: atomic {
		alive0 && used0 ->
		if
		:: entry0 == answered || entry0 == queued || entry0 == sent || entry0 == unknown
		:: entry0 == sealed -> refuse0()
#ifdef NO_AGE
		:: entry0 == absent && age0 < 2 && owns0 && !sealed_before -> entry0 = queued
		:: entry0 == absent && age0 == 1 -> refuse0()
#else
		:: entry0 == absent && age0 == 0 && owns0 && !sealed_before -> entry0 = queued
		:: entry0 == absent && age0 == 1 -> refuse0()
#endif
		:: entry0 == absent && age0 == 0 && (!owns0 || sealed_before) ->
			entry0 = sealed;
			refuse0()
		:: entry0 == absent && age0 == 2 /* may have run */
		fi
	}
	/* a queued request is refused at its deadline, or sent */
	:: atomic { alive0 && entry0 == queued -> entry0 = sealed; refuse0() }
	:: atomic {
		alive0 && entry0 == queued && owns0 ->
#ifdef NO_MARK
		entry0 = absent;
#else
		entry0 = sent;
#endif
		runs0++
	}
	:: atomic { alive0 && entry0 == sent -> entry0 = answered }
	:: atomic { alive0 && entry0 == sent -> entry0 = unknown }
	/* ownership is lost and may come back */
	:: atomic {
		alive0 && owns0 ->
		owns0 = 0;
		if
		:: entry0 == queued -> entry0 = sealed
		:: else
		fi
	}
	:: atomic { alive0 && !owns0 -> owns0 = 1 }
	/* hand-over to incarnation 1 after ownership was lost */
	:: atomic {
		alive0 && !owns0 && !handed ->
		copy0 = entry0;
#ifndef NO_SEAL
		sealed_before = 1;
#endif
		handed = 1
	}
#ifdef NO_KEEP
	:: atomic { alive0 && entry0 == answered -> entry0 = absent }
#else
	/* the ledger forgets only what can no longer run */
	:: atomic { alive0 && entry0 == answered && age0 == 2 -> entry0 = absent }
#endif
	:: atomic { alive0 -> alive0 = 0; owns0 = 0 }
	od
}

proctype incarnation1()
{
	do
	/* a packet with ticket 0; its issuer is dead, or only seems to be */
	:: atomic {
		used0 ->
		if
		:: handed && copy0 == sealed -> refuse0()
#ifdef NO_AGE_COPY
		:: handed && copy0 == absent -> refuse0()
#else
		:: handed && copy0 == absent && age0 < 2 -> refuse0()
		:: handed && copy0 == absent && age0 == 2 /* may have run */
#endif
		:: handed && copy0 != absent && copy0 != sealed /* replay, or may have run */
#ifdef NO_FENCE
		:: !handed && entry1 == absent -> runs1++; entry1 = sent
#else
		:: !handed /* may have run */
#endif
		fi
	}
	/* a packet with ticket 1 */
	:: atomic {
		used1 ->
		if
		:: entry1 == absent -> entry1 = queued
		:: else
		fi
	}
	:: atomic { entry1 == queued -> entry1 = sealed; not_run1 = 1 }
	:: atomic { entry1 == queued -> entry1 = sent; runs1++ }
	:: atomic { entry1 == sent -> entry1 = answered }
	od
}

active proctype monitor()
{
	do
	:: assert(SAFE)
	od
}

init {
	atomic {
		run caller();
		run time();
		run incarnation0();
		run incarnation1()
	}
}
