/*
 * The steward of a service on the platform: two stewards, of which each may believe that it holds the
 * duty, and two hosts that form one group after the other; host 0 is its head.
 *
 * Abstractions. The store hands out numbers that only grow (`newest`); a steward that was frozen goes on
 * under its old one. A steward reads the list of hosts at any time, so that its view may be old. It asks
 * a host for its report just before an order; that and the sending are one step, and the order names the
 * number of orders that the host had accepted by then. An order is carried out at any later time, or
 * never. A restarted host has forgotten its group, its orders and the numbers that it has seen.
 * All loops are bounded by budgets.
 *
 * Invariants: no host takes a join of another group while the head of its own is open (TWO); no head is
 * open in a formation in which a member was never ready (PARTIAL).
 *
 * bounds: TOKENS=2 EPOCHS=2 READS=2 ORDERS=4 FAULTS=1
 * cycle-bounds: TOKENS=2 EPOCHS=2 READS=2 ORDERS=3 FAULTS=0
 * deep-bounds: TOKENS=2 EPOCHS=3 READS=3 ORDERS=5 FAULTS=1
 * mutant: NO_MATCH    the report isn't compared with the view
 * mutant: NO_SEQ      the host doesn't look at the number of its orders
 * mutant: NO_CONFIRM  a head is told to open before all members are ready
 * mutant: NO_LEAVE    members whose head may be open join other groups
 * mutant: NO_RECHECK  members that joined another group meanwhile are told to join all the same
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
/* The head left the group of host 1 because this steward told it to. */
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

byte newest;            /* newest number of a steward */
byte epochs;            /* formations so far; a larger number is newer */
byte tok[2];            /* number under which a steward acts; 0: none */
byte forming[2];        /* formation that a steward is about to bring about; 0: none */
byte told_off[2];       /* formation that a steward told the head to leave; 0: none */
byte vgrp[4];           /* formation in which a steward saw a host */
bool vready[4];         /* a steward saw the host ready */
bool vopen[2];          /* a steward saw the head open */

byte grp[2];            /* formation of a host; 0: none */
bool ready[2];          /* the host is ready in it */
bool head_open;         /* host 0 serves */
byte seq[2];            /* orders that a host has accepted */
byte fence[2];          /* largest number that a host has seen */
byte top[2];            /* newest formation that a host has seen */
byte was_ready;         /* formations in which host 1 was ready, a bit each */

byte reads = READS;
byte orders = ORDERS;
byte faults = FAULTS;

typedef Slot { bool used; mtype kind; byte to_host; byte token; byte expect; byte formation };
Slot slot[SLOTS];

/* Asks a host and sends it an order, if the report agrees with the view. */
inline send(s, h, what, group) {
    orders--;
    if
    :: !MATCHES(s, h) -> skip
    :: MATCHES(s, h) && !slot[0].used -> put(0, s, h, what, group)
    :: MATCHES(s, h) && slot[0].used && !slot[1].used -> put(1, s, h, what, group)
    :: MATCHES(s, h) && slot[0].used && slot[1].used -> skip
    fi
}

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

/* What a host does with an order. */
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
