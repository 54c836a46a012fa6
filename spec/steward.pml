/*
 * Model of the steward of a service on the platform, the node that holds the lease to form and release
 * the service's groups of hosts. Two stewards may both believe that they hold the lease. Two hosts form
 * one group after another; host 0 is the head of each group.
 *
 * Abstractions. The store hands out fencing numbers that only increase (`newest`); a steward that was
 * suspended continues under its old number. A steward may read the host list at any time, so its view may
 * be outdated. Just before it sends an order to a host, a steward requests the host's report: both are one
 * step, and the order contains the number of orders that the host had accepted by then. An order is
 * carried out at any later time or never. A host that restarts loses its group, its count of orders and
 * the fencing numbers that it has seen. Budgets bound all loops.
 *
 * Invariants: no host joins another group while the head of its current group is open (TWO); no head is
 * open in a formation in which some member was never ready (PARTIAL).
 *
 * bounds: TOKENS=2 EPOCHS=2 READS=2 ORDERS=4 FAULTS=1
 * cycle-bounds: TOKENS=2 EPOCHS=2 READS=2 ORDERS=3 FAULTS=0
 * deep-bounds: TOKENS=2 EPOCHS=3 READS=3 ORDERS=5 FAULTS=1
 * mutant: NO_MATCH    the steward doesn't compare the host's report with its view
 * mutant: NO_SEQ      the host doesn't compare the number in an order with its count of orders
 * mutant: NO_CONFIRM  the steward orders a head to open before all members are ready
 * mutant: NO_LEAVE    the steward orders hosts to join another group although their head may be open
 * mutant: NO_RECHECK  the steward orders hosts to join that have joined another group in the meantime
 */
#ifndef TOKENS
#define TOKENS 2
#endif
#ifndef EPOCHS
#define EPOCHS 2
#endif
#ifndef READS
#define READS 2
#endif
#ifndef ORDERS
#define ORDERS 4
#endif
#ifndef FAULTS
#define FAULTS 1
#endif
#define SLOTS 2
#define AT(s, h) ((s) * 2 + (h))

#ifdef NO_MATCH
#define MATCHES(s, h) true
#else
#define MATCHES(s, h) (grp[h] == vgrp[AT(s, h)])
#endif
#ifdef NO_SEQ
#define IN_ORDER(i) true
#else
#define IN_ORDER(i) (slot[i].expect == seq[slot[i].to_host])
#endif
#ifdef NO_CONFIRM
#define CONFIRMED(s) vready[AT(s, 0)]
#else
#define CONFIRMED(s) (vready[AT(s, 0)] && vready[AT(s, 1)])
#endif
/* The head has left the group of host 1 because this steward ordered it to. */
#define HEAD_LEFT(s) (told_off[s] != 0 && told_off[s] == vgrp[AT(s, 1)] && vgrp[AT(s, 0)] != vgrp[AT(s, 1)])
#ifdef NO_LEAVE
#define FREE(s, h) true
#else
#define FREE(s, h) (vgrp[AT(s, h)] == 0 || (h == 1 && HEAD_LEFT(s)))
#endif

mtype = { JOIN, OPEN, LEAVE };

#ifdef NO_RECHECK
#define STILL_FREE(s, h) true
#else
#define STILL_FREE(s, h) FREE(s, h)
#endif

byte newest;            /* newest fencing number */
byte epochs;            /* number of formations so far, also the number of the newest one */
byte tok[2];            /* fencing number of a steward; 0: none */
byte forming[2];        /* formation that a steward is carrying out; 0: none */
byte told_off[2];       /* formation that a steward ordered the head to leave; 0: none */
byte vgrp[4];           /* formation of a host in a steward's view */
bool vready[4];         /* the host is ready in a steward's view */
bool vopen[2];          /* the head is open in a steward's view */

byte grp[2];            /* formation of a host; 0: none */
bool ready[2];          /* the host is ready in its formation */
bool head_open;         /* host 0 is open: it serves requests */
byte seq[2];            /* number of orders that a host has accepted */
byte fence[2];          /* largest fencing number that a host has seen */
byte top[2];            /* newest formation that a host has seen */
byte was_ready;         /* bit set of the formations in which host 1 was ready */

byte reads = READS;
byte orders = ORDERS;
byte faults = FAULTS;

typedef Slot { bool used; mtype kind; byte to_host; byte token; byte expect; byte formation };
Slot slot[SLOTS];

/* Requests the host's report and sends the order if the report agrees with the steward's view. Drops the
 * order if both slots are in use. */
inline send(s, h, what, group) {
    orders--;
    if
    :: !MATCHES(s, h) -> skip
    :: MATCHES(s, h) && !slot[0].used -> put(0, s, h, what, group)
    :: MATCHES(s, h) && slot[0].used && !slot[1].used -> put(1, s, h, what, group)
    :: MATCHES(s, h) && slot[0].used && slot[1].used -> skip
    fi
}

/* Writes an order to slot i. */
inline put(i, s, h, what, group) {
    slot[i].used = true;
    slot[i].kind = what;
    slot[i].to_host = h;
    slot[i].token = tok[s];
    slot[i].expect = seq[h];
    slot[i].formation = group
}

proctype steward(byte s) {
    byte h;
end:
    do
    :: atomic { newest < TOKENS -> newest++; tok[s] = newest; forming[s] = 0; told_off[s] = 0 }
    :: atomic { reads > 0 ->
        reads--;
        h = 0;
        do
        :: h < 2 -> vgrp[AT(s, h)] = grp[h]; vready[AT(s, h)] = ready[h]; h++
        :: else -> break
        od;
        vopen[s] = head_open;
        h = 0 }
    :: atomic { tok[s] > 0 && forming[s] == 0 && epochs < EPOCHS && FREE(s, 0) && FREE(s, 1) ->
        epochs++; forming[s] = epochs }
    :: atomic { forming[s] != 0 -> forming[s] = 0 }
    :: atomic { orders > 0 && forming[s] != 0 && vgrp[AT(s, 0)] != forming[s] && STILL_FREE(s, 0) ->
        send(s, 0, JOIN, forming[s]) }
    :: atomic { orders > 0 && forming[s] != 0 && vgrp[AT(s, 1)] != forming[s] && STILL_FREE(s, 1) ->
        send(s, 1, JOIN, forming[s]) }
    :: atomic { orders > 0 && tok[s] > 0 && vgrp[AT(s, 0)] != 0 && !vopen[s] && CONFIRMED(s) &&
        vgrp[AT(s, 0)] == vgrp[AT(s, 1)] ->
        send(s, 0, OPEN, vgrp[AT(s, 0)]) }
    :: atomic { orders > 0 && tok[s] > 0 && vgrp[AT(s, 0)] != 0 && vgrp[AT(s, 0)] != forming[s] ->
        told_off[s] = vgrp[AT(s, 0)];
        send(s, 0, LEAVE, vgrp[AT(s, 0)]) }
    :: atomic { orders > 0 && tok[s] > 0 && vgrp[AT(s, 1)] != 0 && vgrp[AT(s, 1)] != forming[s] &&
        !vopen[s] ->
        send(s, 1, LEAVE, vgrp[AT(s, 1)]) }
    od
}

/* Carries out an order at host h. */
inline obey(i, h) {
    fence[h] = (slot[i].token > fence[h] -> slot[i].token : fence[h]);
    if
    :: slot[i].kind == JOIN && slot[i].formation >= top[h] && slot[i].formation != grp[h] ->
        assert(!(grp[h] != 0 && head_open && grp[0] == grp[h]));        /* TWO */
        if
        :: h == 0 -> head_open = false
        :: else -> skip
        fi;
        grp[h] = slot[i].formation;
        top[h] = slot[i].formation;
        ready[h] = false;
        seq[h]++
    :: slot[i].kind == OPEN && h == 0 && grp[0] == slot[i].formation && ready[0] && !head_open ->
        head_open = true;
        assert(was_ready & (1 << grp[0]));                              /* PARTIAL */
        seq[h]++
    :: slot[i].kind == LEAVE && grp[h] == slot[i].formation ->
        if
        :: h == 0 -> head_open = false
        :: else -> skip
        fi;
        grp[h] = 0;
        ready[h] = false;
        seq[h]++
    :: else -> skip
    fi
}

/* Delivers the order in slot i to host h, which rejects an outdated fencing number or order count. */
inline deliver() {
    if
    :: slot[i].token >= fence[h] && IN_ORDER(i) -> obey(i, h)
    :: else -> skip
    fi;
    slot[i].used = false;
    slot[i].kind = 0;
    slot[i].to_host = 0;
    slot[i].token = 0;
    slot[i].expect = 0;
    slot[i].formation = 0;
    i = 0;
    h = 0
}

inline restart(x) {
    grp[x] = 0;
    ready[x] = false;
    seq[x] = 0;
    fence[x] = 0;
    top[x] = 0
}

proctype hosts() {
    byte h;
    byte i;
end:
    do
    :: atomic { slot[0].used -> i = 0; h = slot[0].to_host; deliver() }
    :: atomic { slot[1].used -> i = 1; h = slot[1].to_host; deliver() }
    :: atomic { grp[0] != 0 && !ready[0] -> ready[0] = true }
    :: atomic { grp[1] != 0 && !ready[1] -> ready[1] = true; was_ready = was_ready | (1 << grp[1]) }
    :: atomic { faults > 0 -> faults--; restart(0); head_open = false }
    :: atomic { faults > 0 -> faults--; restart(1) }
    od
}

init { atomic { run steward(0); run steward(1); run hosts() } }
