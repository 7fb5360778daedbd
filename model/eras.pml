/*
 * Eras of the platform's store (docs/platform.md, "A store that comes back"): one target, a store
 * that comes back from older copies, an instance that reads the store, and one that reads it or
 * takes the first one's view. Answers and views may be delivered late, also behind a cut; the second
 * instance may hear of an era that does not exist.
 *
 * A state of the store is its era, its revision, whether the target has an entry, and the revision
 * of that entry. The target leaves once. What it wrote since the copy it writes again; the entry of
 * one that has left lapses.
 *
 * Safety: what is known of the store never goes back; an instance that has learned that the target
 * has left never uses it again. At the end, after one more read, every instance uses the target if
 * and only if it has not left.
 * Each safeguard can be removed by a macro; the check must then fail:
 *   NO_ERA        revisions are compared by their numbers alone
 *   NO_LATE       an answer of an earlier era is taken like any other
 *   NO_SUSPICION  an entry that the copy has brought back is used
 *   NO_PROOF      an era that is told by another instance alone is believed
 */
#define REVISIONS 3
#define ERAS 3
#define FALSE_ERA 9

byte era = 1, revision = 1, entry_at = 1;
bit entry = 1, left = 0, dirty = 0;
byte held_entry_at[REVISIONS + 1]; /* of the present history, at each revision; 0: no entry */
bit done = 0;

/* What each instance knows. */
byte known_era[2], known_revision[2], begun[2], before[2];
byte new_era[2]; /* the newest that is proven; a view of it may not be known yet */
bit used[2], knows_left[2];

/* A state of the store on its way: as a read, or as the view of an instance. */
typedef state { byte era; byte revision; bit entry; byte entry_at; bit left }
state view0;

inline write(has)
{
	revision++;
	entry = has;
	entry_at = (has -> revision : 0);
	held_entry_at[revision] = entry_at;
	dirty = 0
}

proctype store()
{
	byte to;
	do
	:: atomic { !left && revision < REVISIONS -> left = 1; write(0) }
	:: atomic { !left && revision < REVISIONS -> write(1) }
	:: atomic { left && entry && revision < REVISIONS -> write(0) }
	:: atomic {
		era < ERAS && revision > 1 ->
		era++;
		/* a copy of any earlier revision */
		to = 1;
		do
		:: to < revision - 1 -> to++
		:: break
		od;
		revision = to;
		entry_at = held_entry_at[to];
		entry = (entry_at != 0);
		dirty = !left
	}
	:: atomic { (!dirty && !(left && entry)) || revision == REVISIONS -> break }
	od;
	/* Nobody writes any more: what is due is written in one step. */
	atomic {
		if
		:: left && entry -> revision++; entry = 0; entry_at = 0
		:: !left && dirty -> revision++; entry = 1; entry_at = revision
		:: else
		fi;
		done = 1
	}
}

/* True if state s is taken over by instance i. */
#ifdef NO_ERA
#define TAKEN(i, s) (s.revision > known_revision[i])
#else
#ifdef NO_LATE
#define TAKEN(i, s) (s.era != known_era[i] || s.revision > known_revision[i])
#else
#define TAKEN(i, s)                                                                                \
	(s.era == new_era[i] &&                                                                    \
	 (s.era > known_era[i] || (s.era == known_era[i] && s.revision > known_revision[i])))
#endif
#endif

/* @read: by a read of the instance, or by news of the one that reads. */
inline take(i, s, read)
{
	if
	:: s.era > new_era[i] && read ->
		new_era[i] = s.era;
		before[i] = known_revision[i];
		begun[i] = s.revision
#ifdef NO_PROOF
	:: s.era > new_era[i] && !read -> new_era[i] = s.era
#endif
	:: else
	fi;
	if
	:: TAKEN(i, s) ->
		if
#ifndef NO_SUSPICION
		/* May be the copy's: it was known to be there, or not to be, at that revision. */
		:: s.entry && known_era[i] < s.era && s.entry_at <= begun[i] &&
			s.entry_at <= before[i] && !used[i] -> skip
#endif
		:: else -> used[i] = s.entry
		fi;
		assert(s.era >= known_era[i]);
		known_era[i] = s.era;
		known_revision[i] = s.revision;
		knows_left[i] = knows_left[i] || (s.left && !s.entry);
		assert(!(used[i] && knows_left[i]))
	:: else
	fi
}

inline copy(to, from)
{
	to.era = from.era;
	to.revision = from.revision;
	to.entry = from.entry;
	to.entry_at = from.entry_at;
	to.left = from.left
}

/* What is no longer used tells no states apart. */
inline clear(s)
{
	s.era = 0;
	s.revision = 0;
	s.entry = 0;
	s.entry_at = 0;
	s.left = 0
}

inline read_store(s)
{
	s.era = era;
	s.revision = revision;
	s.entry = entry;
	s.entry_at = entry_at;
	s.left = left
}

/* The last view that instance 0 has taken is what it gives. */
proctype reader()
{
	state s;
	do
	:: atomic { !done -> read_store(s) };
		/* the answer is on its way */
		atomic {
			take(0, s, 1);
			if
			:: known_era[0] == s.era && known_revision[0] == s.revision &&
				used[0] == s.entry -> copy(view0, s)
			:: else
			fi;
			clear(s)
		}
	:: done -> break
	od;
	atomic { read_store(s); take(0, s, 1); assert(used[0] == !left) }
}

proctype follower()
{
	state s;
	bit news;
	do
	:: atomic { !done -> read_store(s) };
		atomic { take(1, s, 1); clear(s) }
	:: atomic { !done && view0.era -> copy(s, view0) };
		/* news of the reader, or a view of which nobody says who has read it */
		if
		:: news = 1
		:: news = 0
		fi;
		atomic { take(1, s, news); clear(s); news = 0 }
	:: atomic { !done -> read_store(s); s.era = FALSE_ERA; take(1, s, 0); clear(s) }
	:: done -> break
	od;
	atomic { read_store(s); take(1, s, 1); assert(used[1] == !left) }
}

init {
	atomic {
		held_entry_at[1] = 1;
		known_era[0] = 1; known_era[1] = 1;
		known_revision[0] = 1; known_revision[1] = 1;
		new_era[0] = 1; new_era[1] = 1;
		used[0] = 1; used[1] = 1;
		run store();
		run reader();
		run follower()
	}
}
