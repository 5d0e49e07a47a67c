/*
 * The replacement of a primary by proxies that hold rights with a time: claim, fence, announce,
 * order, publish, as in Libraries/Fleet. Two databases and two proxies, each of which also acts as
 * a leader; no safety rests on who leads. Every step may be delayed for ever, which covers pauses,
 * slow answers and cuts. The clock is the same for both, and counts a suspension.
 *
 * Checked: a statement is acknowledged only by the database that leads.
 *
 * A record that a feed relays with its age is an answer of the store that comes late. Not in the model:
 * a relayed confirmation that loses its age. That harms only where two proxies are out of touch with
 * a third; Tests/Fleet plays it.
 *
 * The following make broken variants, which must fail:
 *   NO_FENCE           an order doesn't wait for adoptions or a lapse
 *   CONFIRM_AT_ANSWER  a right lasts from the store's answer, not from the question
 *   ADOPT_IN_FLIGHT    a proxy adopts a replacement while a statement is in flight
 *   NO_ANNOUNCE        an order is given without naming the candidate in the record
 *   RESTORE_ORDERED    the old primary goes on though another one may have been ordered
 *   LAPSE_FROM_ANY     a lapse is counted from any earlier replacement, though the old primary may
 *                      have been active again in between
 */

#define PROXIES 2
#ifndef RIGHT
#define RIGHT 2 /* How long a right lasts. */
#endif
#ifndef TIME
#define TIME 6
#endif
#ifndef REVISIONS
#define REVISIONS 6
#endif

#define ACTIVE 0
#define REPLACING 1
#define ORDERED 2

byte clock;
bit leading; /* The database that leads. */

/* The record in the store. */
byte revision = 1;
byte phase = ACTIVE;
bit database;
byte replaces; /* The revision that named the old primary as active. */

/* What each proxy knows of it. */
byte knownRevision[PROXIES] = 1;
byte knownPhase[PROXIES] = ACTIVE;
bit knownDatabase[PROXIES];
byte knownReplaces[PROXIES];
byte rightUntil[PROXIES];
byte oldUntil[PROXIES]; /* The right under which a statement of before the last change was sent. */
byte adopted[PROXIES] = 1;
byte replacing[PROXIES]; /* The record that a known replacement replaces, and since when. */
byte since[PROXIES];

/* A question to the store that is not answered yet. */
bit isAsking[PROXIES];
byte askedAt[PROXIES];
byte answerRevision[PROXIES];
byte answerPhase[PROXIES];
bit answerDatabase[PROXIES];
byte answerReplaces[PROXIES];

byte inFlight[PROXIES]; /* 0: nothing; else the number of the database plus 1. */

/* A proxy's plan as the leader. */
#define NONE 0
#define FENCE 1
#define ORDER 2
byte step[PROXIES];
byte claimRevision[PROXIES];
byte claimedAt[PROXIES];
byte orders[PROXIES]; /* 0: none under way; else the candidate plus 1. */

inline learn(p, newRevision, newPhase, newDatabase, newReplaces)
{
    if
    :: newRevision > knownRevision[p] ->
        if
        :: knownPhase[p] == ACTIVE && inFlight[p] == knownDatabase[p] + 1 -> oldUntil[p] = rightUntil[p]
        :: else
        fi;
        rightUntil[p] = 0;
        knownRevision[p] = newRevision;
        knownPhase[p] = newPhase;
        knownDatabase[p] = newDatabase;
        knownReplaces[p] = newReplaces;
        if
        :: newPhase == ACTIVE ->
#ifdef LAPSE_FROM_ANY
            skip
#else
            replacing[p] = 0;
            since[p] = 0
#endif
        :: else ->
            if
#ifdef LAPSE_FROM_ANY
            :: replacing[p] != 0 -> skip
#else
            :: replacing[p] != 0 && replacing[p] == newReplaces -> skip
#endif
            :: else ->
                replacing[p] = newReplaces;
                since[p] = clock
            fi
        fi
    :: else
    fi
}

inline confirm(p, at)
{
    if
    :: knownPhase[p] == ACTIVE && at + RIGHT > rightUntil[p] -> rightUntil[p] = at + RIGHT
    :: else
    fi
}

#define ALL_ADOPTED(p) (adopted[0] >= claimRevision[p] && adopted[1] >= claimRevision[p])
#define LAPSED(p)                                                                                  \
    (clock >= claimedAt[p] + RIGHT || (replacing[p] != 0 && clock >= since[p] + RIGHT))

#ifdef NO_FENCE
#define FENCED(p) true
#else
#define FENCED(p) (ALL_ADOPTED(p) || LAPSED(p))
#endif

/* Whether a success of the statement in flight is passed on. */
#define MAY_CONFIRM(p)                                                                             \
    ((knownPhase[p] == ACTIVE && inFlight[p] == knownDatabase[p] + 1 && clock < rightUntil[p])     \
     || clock < oldUntil[p])

#define HAS_REVISION (revision < REVISIONS)

/* Writes the record on the condition that it is the one that the proxy knows. */
inline change(p, newPhase, newDatabase, newReplaces)
{
    database = newDatabase;
    replaces = newReplaces;
    phase = newPhase;
    revision++;
    learn(p, revision, phase, database, replaces)
}

proctype Clock()
{
    do
    :: clock < TIME -> clock++
    :: else -> break
    od
}

proctype Proxy(byte p)
{
    do
    /* Questions to the store, and answers as late as can be. */
    :: d_step {
        !isAsking[p] ->
        isAsking[p] = 1;
        askedAt[p] = clock;
        answerRevision[p] = revision;
        answerPhase[p] = phase;
        answerDatabase[p] = database;
        answerReplaces[p] = replaces
    }
    :: d_step {
        isAsking[p] ->
        isAsking[p] = 0;
        learn(p, answerRevision[p], answerPhase[p], answerDatabase[p], answerReplaces[p]);
        if
        :: answerRevision[p] == knownRevision[p] ->
#ifdef CONFIRM_AT_ANSWER
            confirm(p, clock)
#else
            confirm(p, askedAt[p])
#endif
        :: else
        fi;
        askedAt[p] = 0;
        answerRevision[p] = 0;
        answerPhase[p] = 0;
        answerDatabase[p] = 0;
        answerReplaces[p] = 0
    }
    /* A confirmation of the other proxy, with its age. */
    :: d_step {
        (knownRevision[p] == knownRevision[1 - p] && rightUntil[1 - p] > rightUntil[p]
            && knownPhase[p] == ACTIVE) ->
        rightUntil[p] = rightUntil[1 - p]
    }
    /* Statements. */
    :: d_step {
        inFlight[p] == 0 && knownPhase[p] == ACTIVE && clock < rightUntil[p] ->
        inFlight[p] = knownDatabase[p] + 1
    }
    :: d_step {
        inFlight[p] != 0 ->
        if
        :: MAY_CONFIRM(p) -> assert(inFlight[p] == leading + 1)
        :: else
        fi;
        inFlight[p] = 0;
        oldUntil[p] = 0
    }
    :: d_step {
        (knownPhase[p] != ACTIVE && adopted[p] < knownRevision[p]
#ifndef ADOPT_IN_FLIGHT
            && inFlight[p] == 0
#endif
            ) ->
        adopted[p] = knownRevision[p]
    }
    /* The plan of a leader. */
    :: d_step {
        step[p] == NONE && HAS_REVISION && knownRevision[p] == revision ->
        if
        :: phase == ACTIVE -> change(p, REPLACING, database, revision)
        :: phase == REPLACING -> change(p, REPLACING, database, replaces)
        :: phase == ORDERED -> change(p, ORDERED, database, replaces)
        fi;
        claimRevision[p] = revision;
        claimedAt[p] = clock;
        step[p] = FENCE
    }
    :: d_step {
        step[p] == FENCE && knownRevision[p] != revision -> step[p] = NONE
    }
    :: d_step {
        (step[p] == FENCE && FENCED(p) && knownRevision[p] == revision && phase == REPLACING
            && HAS_REVISION) ->
#ifdef NO_ANNOUNCE
        skip;
#else
        change(p, ORDERED, database, replaces);
#endif
        step[p] = ORDER;
        orders[p] = (1 - database) + 1
    }
    /* The old primary answers, so it goes on: nothing was ordered yet, whoever has stopped. */
    :: d_step {
        (step[p] == FENCE && knownRevision[p] == revision && HAS_REVISION
#ifndef RESTORE_ORDERED
            && phase == REPLACING
#endif
            ) ->
        change(p, ACTIVE, database, 0);
        step[p] = NONE
    }
    :: d_step {
        step[p] == FENCE && FENCED(p) && knownRevision[p] == revision && phase == ORDERED ->
        step[p] = ORDER;
        orders[p] = (1 - database) + 1
    }
    /* The platform carries out the order, perhaps late. */
    :: d_step {
        orders[p] != 0 ->
        leading = orders[p] - 1;
        orders[p] = 0
    }
    :: d_step {
        (step[p] == ORDER && orders[p] == 0 && knownRevision[p] == revision && HAS_REVISION
            && phase != ACTIVE && leading == 1 - database) ->
        change(p, ACTIVE, 1 - database, 0);
        step[p] = NONE
    }
    :: d_step {
        step[p] == ORDER && orders[p] == 0 && knownRevision[p] != revision -> step[p] = NONE
    }
    :: clock >= TIME -> break
    od
}

init
{
    rightUntil[0] = RIGHT;
    rightUntil[1] = RIGHT;
    atomic {
        run Clock();
        run Proxy(0);
        run Proxy(1)
    }
}
