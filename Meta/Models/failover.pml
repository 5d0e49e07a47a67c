/*
 * Fencing, promotion and acknowledgement in one group of three databases, with two coordinators
 * and a writer. Every step of every party may be delayed for ever, which covers pauses, lost
 * requests, lost answers and cut connections alike; no step depends on time.
 *
 * Checked: a write that was ever acknowledged is in the log of every primary of a higher term, and
 * a term has at most one primary.
 *
 * RECONCILE_AT_ONCE makes a second good model, in which a replica's held mark keeps its term until
 * the replica holds the new primary's log up to that primary's own first entry. There, a database
 * may count for a write whatever it knows (COUNT_LATER_TERMS), since no mark of an old term grows.
 *
 * INFER_PRIMARY makes good variants, in which one replica's answer is enough: it got the write from
 * the primary, which therefore holds it too.
 *
 * The following make broken variants, which must fail:
 *   FENCE_ONE          a coordinator chooses after the fence of one database
 *   ACKNOWLEDGE_EARLY  a write is acknowledged when the primary alone holds it
 *   COUNT_LATER_TERMS  a database counts for a write though it knows a higher term than the write's
 *   HELD_BY_FOLLOWING  a replica claims the new primary's term before it has that primary's log
 *   CHOOSE_AGAIN       a coordinator tries a second database under the same term
 *   IGNORE_TERM        a database takes a promotion of a lower term than it knows
 */

#ifndef WRITES
#define WRITES 2
#endif
#define DATABASES 3
#define LENGTH 5 /* Entries of a log: all writes and all promotions. */
#ifndef FIRST_LAST
#define FIRST_LAST 4 /* The first coordinator's second term; 2 for a single attempt. */
#endif
#define TERMS 5  /* Terms 1 to 4; the database 0 is the primary of term 1. */

byte knownTerm[DATABASES] = 1;
bit isPrimary[DATABASES];
byte follows[DATABASES]; /* 0: nobody; else the number of the database plus 1. */
byte length[DATABASES];
byte entryTerm[DATABASES * LENGTH];
#if defined(HELD_BY_FOLLOWING) || defined(RECONCILE_AT_ONCE)
#define CLAIMS
byte claimedTerm[DATABASES] = 1;
#endif

byte written;
byte writeTerm[WRITES];
byte writeLength[WRITES]; /* The length of the primary's log with the write. */
byte writeSeen[WRITES];   /* The databases that were seen to hold it, as bits. */
bit isAcknowledged[WRITES];

bit hasPrimary[TERMS];
byte promotedLength[TERMS];
byte promotedTerm[TERMS * LENGTH]; /* The log of each term's primary when it was promoted. */

byte i; /* Within d_step only, and 0 again after it. */

#ifdef CLAIMS
#define HELD_TERM(d) claimedTerm[d]
#else
#define HELD_TERM(d) (length[d] == 0 -> 0 : entryTerm[(d) * LENGTH + length[d] - 1])
#endif

/* A mark as one number, ordered by term before length. */
#define MARK(d) (HELD_TERM(d) * 8 + length[d])

#define COUNT(bits) (((bits) & 1) + (((bits) >> 1) & 1) + (((bits) >> 2) & 1))

#ifdef FENCE_ONE
#define FENCES 1
#else
#define FENCES 2
#endif

/* A later primary lacks write w. */
#define LACKS(term, w)                                                                             \
    (hasPrimary[term] && term > writeTerm[w]                                                       \
     && (promotedLength[term] < writeLength[w]                                                     \
         || promotedTerm[term * LENGTH + writeLength[w] - 1] != writeTerm[w]))

inline checkWrite(w)
{
    assert(!isAcknowledged[w]
           || (!LACKS(2, w) && !LACKS(3, w) && !LACKS(4, w)));
}

#ifdef RECONCILE_AT_ONCE
#define NEEDS_ALL(d) (claimedTerm[d] != knownTerm[d])
#else
#define NEEDS_ALL(d) 0
#endif

/*
 * The replica drops what its primary's log lacks, and takes one entry; or, with RECONCILE_AT_ONCE,
 * it first takes all entries up to the primary's first one of its term together.
 */
inline pull(d, p)
{
    d_step {
        i = 0;
#ifdef RECONCILE_AT_ONCE
        if
        :: NEEDS_ALL(d) ->
            length[d] = promotedLength[knownTerm[d]] + 1;
            claimedTerm[d] = knownTerm[d];
            do
            :: i < LENGTH ->
                entryTerm[d * LENGTH + i] = (i < length[d] -> entryTerm[p * LENGTH + i] : 0);
                i++
            :: else -> break
            od
        :: else
        fi;
        i = 0;
#endif
        do
        :: (i < length[d] && i < length[p]
            && entryTerm[d * LENGTH + i] == entryTerm[p * LENGTH + i]) -> i++
        :: else -> break
        od;
        if
        :: i < length[p] ->
            do
            :: length[d] > i -> length[d]--; entryTerm[d * LENGTH + length[d]] = 0
            :: else -> break
            od;
            entryTerm[d * LENGTH + i] = entryTerm[p * LENGTH + i];
            length[d] = i + 1
        :: else
        fi;
        i = 0
    }
}

#define CAN_PULL(d, p)                                                                             \
    (follows[d] == p + 1 && isPrimary[p] && knownTerm[p] == knownTerm[d]                           \
     && (length[d] < length[p] || NEEDS_ALL(d)))

inline write(d)
{
    d_step {
        entryTerm[d * LENGTH + length[d]] = knownTerm[d];
        length[d]++;
        writeTerm[written] = knownTerm[d];
        writeLength[written] = length[d];
#ifdef INFER_PRIMARY
        writeSeen[written] = 1 << d;
#endif
#ifdef ACKNOWLEDGE_EARLY
        isAcknowledged[written] = 1;
        checkWrite(written);
#endif
        written++
    }
}

/*
 * Databases are asked one after another, not at one instant. One that knows a higher term doesn't
 * count, even if it holds the write: it may have got it from a later primary.
 */
#ifdef COUNT_LATER_TERMS
#define IS_IN_TERM(w, d) 1
#else
#define IS_IN_TERM(w, d) (knownTerm[d] == writeTerm[w])
#endif
#define CAN_SEE(w, d)                                                                              \
    (w < written && !isAcknowledged[w] && !((writeSeen[w] >> d) & 1) && IS_IN_TERM(w, d)           \
     && HELD_TERM(d) == writeTerm[w] && length[d] >= writeLength[w])

inline see(w, d)
{
    d_step {
        writeSeen[w] = writeSeen[w] | (1 << d);
        if
        :: COUNT(writeSeen[w]) >= 2 ->
            isAcknowledged[w] = 1;
            writeSeen[w] = 0;
            checkWrite(w)
        :: else
        fi
    }
}

active proctype databasesAndWriter()
{
end:
    do
    :: atomic { written < WRITES && isPrimary[0] -> write(0) }
    :: atomic { written < WRITES && isPrimary[1] -> write(1) }
    :: atomic { written < WRITES && isPrimary[2] -> write(2) }
    :: atomic { CAN_PULL(0, 1) -> pull(0, 1) }
    :: atomic { CAN_PULL(0, 2) -> pull(0, 2) }
    :: atomic { CAN_PULL(1, 0) -> pull(1, 0) }
    :: atomic { CAN_PULL(1, 2) -> pull(1, 2) }
    :: atomic { CAN_PULL(2, 0) -> pull(2, 0) }
    :: atomic { CAN_PULL(2, 1) -> pull(2, 1) }
    :: atomic { CAN_SEE(0, 0) -> see(0, 0) }
    :: atomic { CAN_SEE(0, 1) -> see(0, 1) }
    :: atomic { CAN_SEE(0, 2) -> see(0, 2) }
#if WRITES > 1
    :: atomic { CAN_SEE(1, 0) -> see(1, 0) }
    :: atomic { CAN_SEE(1, 1) -> see(1, 1) }
    :: atomic { CAN_SEE(1, 2) -> see(1, 2) }
#endif
    od
}

/* A higher term makes a replica of whatever the database was. */
inline raise(d, term)
{
    if
    :: knownTerm[d] < term -> knownTerm[d] = term; isPrimary[d] = 0; follows[d] = 0
    :: else
    fi
}

inline fence(d)
{
    d_step {
        if
        :: knownTerm[d] <= term ->
            raise(d, term);
            mark[d] = MARK(d);
            fenced = fenced | (1 << d)
        :: else -> isSuperseded = 1
        fi
    }
}

#ifdef IGNORE_TERM
#define TAKES_PROMOTION(d) 1
#else
#define TAKES_PROMOTION(d) (knownTerm[d] == term)
#endif

inline promote(d)
{
    d_step {
        if
        :: TAKES_PROMOTION(d) && !(isPrimary[d] && knownTerm[d] == term) ->
            assert(!hasPrimary[term]);
            knownTerm[d] = term;
            isPrimary[d] = 1;
            follows[d] = 0;
            hasPrimary[term] = 1;
            promotedLength[term] = length[d];
            i = 0;
            do
            :: i < length[d] ->
                promotedTerm[term * LENGTH + i] = entryTerm[d * LENGTH + i];
                i++
            :: else -> break
            od;
            i = 0;
            entryTerm[d * LENGTH + length[d]] = term;
            length[d]++;
#ifdef CLAIMS
            claimedTerm[d] = term;
#endif
            checkWrite(0);
#if WRITES > 1
            checkWrite(1);
#endif
        :: TAKES_PROMOTION(d) && isPrimary[d] && knownTerm[d] == term
        :: !TAKES_PROMOTION(d) -> isSuperseded = 1
        fi
    }
}

inline follow(d)
{
    d_step {
        if
        :: d != chosen && knownTerm[d] <= term ->
            raise(d, term);
            follows[d] = chosen + 1;
#ifdef HELD_BY_FOLLOWING
            claimedTerm[d] = term;
#endif
        :: else
        fi
    }
}

#define IS_FENCED(d) ((fenced >> d) & 1)
#define IS_FULLEST(d)                                                                              \
    (IS_FENCED(d) && (!IS_FENCED(0) || mark[0] <= mark[d])                                         \
     && (!IS_FENCED(1) || mark[1] <= mark[d]) && (!IS_FENCED(2) || mark[2] <= mark[d]))

proctype coordinator(byte firstTerm; byte lastTerm)
{
    byte term = firstTerm;
    byte fenced;
    byte mark[DATABASES];
    byte chosen = DATABASES;
    bit isSuperseded;

attempt:
    do
    :: isSuperseded || COUNT(fenced) >= FENCES -> break
    :: !isSuperseded && !IS_FENCED(0) -> fence(0)
    :: !isSuperseded && !IS_FENCED(1) -> fence(1)
    :: !isSuperseded && !IS_FENCED(2) -> fence(2)
    od;
    if
    :: isSuperseded -> goto spent
    :: !isSuperseded && IS_FULLEST(0) -> chosen = 0
    :: !isSuperseded && IS_FULLEST(1) -> chosen = 1
    :: !isSuperseded && IS_FULLEST(2) -> chosen = 2
    fi;
promotion:
    if
    :: chosen == 0 -> promote(0)
    :: chosen == 1 -> promote(1)
    :: chosen == 2 -> promote(2)
    fi;
    if
    :: isSuperseded -> goto spent
#ifdef CHOOSE_AGAIN
    :: !isSuperseded && chosen != 0 && IS_FENCED(0) -> chosen = 0; goto promotion
    :: !isSuperseded && chosen != 1 && IS_FENCED(1) -> chosen = 1; goto promotion
    :: !isSuperseded && chosen != 2 && IS_FENCED(2) -> chosen = 2; goto promotion
#endif
    :: !isSuperseded
    fi;
    /* Told in any order; one that isn't told is one whose follow is delayed for ever. */
    follow((chosen + 1) % DATABASES);
    follow((chosen + 2) % DATABASES);
spent:
    skip;
    d_step {
        fenced = 0;
        mark[0] = 0;
        mark[1] = 0;
        mark[2] = 0;
        chosen = 0;
        isSuperseded = 0
    }
    if
    :: term < lastTerm -> term = lastTerm; goto attempt
    :: else
    fi
}

init
{
    atomic {
        isPrimary[0] = 1;
        follows[1] = 1;
        follows[2] = 1;
        run coordinator(2, FIRST_LAST);
        run coordinator(3, 3)
    }
}
