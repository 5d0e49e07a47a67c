/*
 * The lending of shares of a team's rate, as in Libraries/Rates: an owner lends to two holders on leases,
 * and one other owner takes over at any time. Messages are lost or delayed for ever, and any step
 * may be delayed, which covers pauses and partitions. The clock is the same for all.
 *
 * Checked: what the holders may use, and what the owner may use itself, are never more than all.
 * Assumed: the earlier owner acts no more once the next one does, which the fleet's leases see to.
 *
 * The following make broken variants, which must fail:
 *   FROM_RECEIPT   a lease is counted from when the holder received it, not from its report
 *   COUNT_GRANTED  the owner counts what it grants, though the holder may not know of it yet
 *   ANY_ANSWER     a holder takes an answer to an earlier report
 *   NO_QUERY       a new owner takes holders that it has not heard as holding nothing
 */

#define HOLDERS 2
#define ALL 2
#define MOST 1 /* Of one holder. */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef TIME
#define TIME 5
#endif
#ifndef REPORTS
#define REPORTS 4
#endif

byte clock;

/* The owner's account. */
bit hasTakenOver;
byte since;
bit isHeard[HOLDERS];
byte counted[HOLDERS];
byte countedUntil[HOLDERS];

/* The holders. */
byte share[HOLDERS];
byte expiry[HOLDERS];
byte report[HOLDERS]; /* The number of the newest report. */
byte reportedAt[HOLDERS];

/* One report and one lease of each holder on their way; a later one replaces them. */
bit isReportSent[HOLDERS];
byte sentReport[HOLDERS];
byte sentHeld[HOLDERS];
bit isLeaseSent[HOLDERS];
byte leaseReport[HOLDERS];
byte leaseShare[HOLDERS];

#define USED(h) (clock < expiry[h] -> share[h] : 0)
#define COUNTED(h) (clock < countedUntil[h] -> counted[h] : 0)
#ifdef NO_QUERY
#define UNHEARD(h) 0
#else
#define UNHEARD(h) ((!isHeard[h] && hasTakenOver && clock < since + LEASE) -> MOST : 0)
#endif
#define LENT(h) (COUNTED(h) + UNHEARD(h))
#define OWN (ALL - LENT(0) - LENT(1))

inline check()
{
    assert(OWN >= 0 && USED(0) + USED(1) + OWN <= ALL);
}

inline lend(h)
{
    isReportSent[h] = 0;
    isHeard[h] = 1;
    counted[h] = sentHeld[h];
    countedUntil[h] = clock + LEASE;
    leaseReport[h] = sentReport[h];
    if
    :: leaseShare[h] = 0
    :: sentHeld[h] >= MOST || OWN >= MOST -> leaseShare[h] = MOST
    fi;
    isLeaseSent[h] = 1;
#ifdef COUNT_GRANTED
    counted[h] = leaseShare[h];
#else
    counted[h] = (leaseShare[h] > sentHeld[h] -> leaseShare[h] : sentHeld[h]);
#endif
}

inline takeLease(h)
{
    isLeaseSent[h] = 0;
    share[h] = leaseShare[h];
#ifdef FROM_RECEIPT
    expiry[h] = clock + LEASE;
#else
    expiry[h] = reportedAt[h] + LEASE;
#endif
}

inline holderSteps(h)
{
    if
    :: report[h] < REPORTS -> /* Reports what it holds. */
        report[h]++;
        reportedAt[h] = clock;
        isReportSent[h] = 1;
        sentReport[h] = report[h];
        sentHeld[h] = USED(h)
    :: isReportSent[h] -> lend(h)
#ifdef ANY_ANSWER
    :: isLeaseSent[h] -> takeLease(h)
#else
    :: isLeaseSent[h] && leaseReport[h] == report[h] -> takeLease(h)
#endif
    :: share[h] = 0; expiry[h] = 0 /* It restarts. */
    fi
}

init
{
    do
    :: atomic { clock < TIME -> clock++; check() }
    :: atomic { holderSteps(0); check() }
    :: atomic { holderSteps(1); check() }
    :: atomic {
           !hasTakenOver -> /* Reports on their way to the earlier owner are lost. */
               hasTakenOver = 1;
               since = clock;
               isHeard[0] = 0; isHeard[1] = 0;
               counted[0] = 0; counted[1] = 0;
               isReportSent[0] = 0; isReportSent[1] = 0;
               check()
       }
    od
}
