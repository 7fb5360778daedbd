/*
 * Versions of the configuration (docs/design.md, 3.7): two operators, the platform's head with
 * conditional update, lost answers and one restore of an older state, two instances that learn from the
 * platform and from each other.
 *
 * A change is known by its number, which is the order in which the platform accepted it. A
 * version is the highest of the head's version + 1 and the writer's wall clock; clock moves on at least by
 * one between two accepted changes.
 *
 * Safety: a change builds on the change that it replaces, an instance never goes from a later accepted change to an earlier one, equal versions mean
 * equal changes, and an operator is told "lost" only if the change was never accepted.
 * Each safeguard can be removed by a macro; the check must then fail:
 *   NO_CLOCK      versions count on from the head alone, which a restore may have set back
 *   NO_CONDITION  the head is written without a condition
 *   NO_RISING     an instance takes any version that differs from its own
 *   NO_HISTORY    an unknown outcome is judged by the head's change alone
 */
#define CHANGES 4

byte version[CHANGES + 1]; /* of each accepted change; change 0 is the first configuration */
byte accepted = 0;	   /* number of accepted changes */
byte head = 0;		   /* the platform's present change */
byte revision = 0;	   /* the platform's own, rises with each write and restore */
bit restored = 0;
bit in_history[CHANGES + 1]; /* changes that the head's history names */
byte wall = 1;
byte held[2]; /* change at each instance */

inline adopt(i, c)
{
	if
#ifdef NO_RISING
	:: c != held[i] ->
#else
	:: version[c] > version[held[i]] ->
#endif
		assert(c > held[i]);
		held[i] = c
	:: else -> assert(version[c] != version[held[i]] || c == held[i])
	fi
}

proctype operator()
{
	byte base, seen, mine;
	do
	:: accepted < CHANGES ->
		/* read */
		atomic { base = head; seen = revision };
		/* conditional write; the answer may be lost after it took effect */
		atomic {
			mine = 0;
			if
#ifdef NO_CONDITION
			:: accepted < CHANGES ->
#else
			:: accepted < CHANGES && revision == seen ->
#endif
				assert(base == head); /* nobody else's change is undone */
				accepted++;
				mine = accepted;
				wall++;
				version[mine] = version[base] + 1;
#ifndef NO_CLOCK
				if
				:: wall > version[mine] -> version[mine] = wall
				:: else
				fi;
#endif
				head = mine;
				revision++;
				in_history[mine] = 1
			:: else
			fi
		};
		/* lost answer: read back; a restore of the platform in between loses the change for all */
		atomic {
#ifdef NO_HISTORY
			if
			:: mine != 0 && head != mine && !restored -> assert(false) /* told "lost" */
			:: else
			fi
#else
			if
			:: mine != 0 && !in_history[mine] && !restored -> assert(false)
			:: else
			fi
#endif
		}
	:: break
	od
}

proctype instance(byte i)
{
	do
	:: atomic { skip; adopt(i, head) }
	:: atomic { skip; adopt(i, held[1 - i]) }
	od
}

/* The platform's store is set back to an earlier state, once. */
proctype restore()
{
	atomic {
		head > 0 ->
		if
		:: head = 0
		:: head > 1 -> head = 1
		fi;
		revision++;
		restored = 1
	}
}

init {
	atomic {
		version[0] = 1;
		run operator();
		run operator();
		run instance(0);
		run instance(1);
		run restore()
	}
}
