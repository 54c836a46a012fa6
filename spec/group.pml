/*
 * Model of the protocol that forms the groups of one failure domain: two stewards (nodes that claim the
 * lease to form and release groups), one host that enforces fencing numbers and one that ignores them,
 * and groups that need both hosts.
 *
 * Abstractions. A process that isn't scheduled is suspended. A lease may expire by its holder's clock at
 * any time (`lease`); by an observer's clock, which counts from the reading of the lease's record, it
 * expires later, so `lapsed` uses the holder's view. The longest time that an order may be in transit is
 * modelled as the condition that no such order is in `slot`. The log is unavailable while no claim,
 * renewal or read is scheduled. Restarts, lost answers and expiries of the newest lease share the budget
 * FAULTS. A host that ignores fencing numbers is assumed to follow every order, also one that replaces
 * its group.
 *
 * Invariants: what the newest steward confirmed about a host is true, so no host is in two groups
 * (truth); a routable replica has all its members (partial). Progress: there is no cycle, and every run
 * ends with a complete replica that the newest steward knows.
 *
 * bounds: TERMS=3 GENERATIONS=7 FAULTS=2
 * mutant: NO_FENCE        the steward reads a host without fencing it
 * mutant: NO_STALE_CHECK  the host accepts old fencing numbers
 * mutant: NO_LAPSE        the steward doesn't wait for the earlier lease to expire
 * mutant: NO_QUIET        the steward doesn't wait for earlier stewards' orders in transit
 * mutant: NO_LEASE        the steward sends orders without checking its lease
 * mutant: NO_VOID         a renewal counts although a later claim exists
 * mutant: NO_SETTLE       the steward doesn't wait until its own unanswered order can't arrive any more
 * mutant: NO_REREAD       the steward keeps its view after a lost answer
 * mutant: NO_WHOLE        the router checks only the head
 * mutant: NO_RELEASE      the steward doesn't release incomplete groups
 * mutant: NO_RENEW        the steward doesn't renew an expired lease
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef GENERATIONS
#define GENERATIONS 7
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#define SLOTS 4
#define ENFORCES(h) (h == 0)
#define AT(s, h) ((s) * 2 + (h))

byte last;              /* number of the newest claim */
byte mine[2];           /* claim of a steward that it hasn't read back yet; 0: none */
byte fence[2];          /* term that a steward believes it holds; 0: none */
bool lease[2];          /* the lease is valid by the steward's own clock */
bool known[4];          /* the steward has confirmed the host's state */
bool open[4];           /* the steward is waiting for the answer to an order */
byte belief[4];         /* group of the host in the steward's view */
byte seen[2];           /* largest fencing number that a host has seen */
byte grp[2];            /* group of a host; 0: none */
bool ready[2];          /* the host saw its group complete; may be outdated */
bool stale[4];          /* the host has restarted since the steward confirmed it */
byte gen;               /* number of generations used */
byte faults = FAULTS;

typedef Slot { bool used; bool is_form; byte at_term; byte to_host; byte of_group };
Slot slot[SLOTS];

#define HELD(i, h) (slot[i].used && slot[i].to_host == h)
#define OWN(i, s, h) (HELD(i, h) && slot[i].at_term == fence[s])
#define OTHER(i, s, h) (HELD(i, h) && slot[i].at_term != fence[s])
#define UNDER_WAY(s, h) (OWN(0, s, h) || OWN(1, s, h) || OWN(2, s, h) || OWN(3, s, h))
#define EARLIER(s, h) (OTHER(0, s, h) || OTHER(1, s, h) || OTHER(2, s, h) || OTHER(3, s, h))

#ifdef NO_STALE_CHECK
#define STALE_CHECK false
#else
#define STALE_CHECK true
#endif
#ifdef NO_LAPSE
#define lapsed(s) true
#else
#define lapsed(s) (!lease[1 - s])
#endif
#ifdef NO_QUIET
#define quiet(s, h) true
#else
#define quiet(s, h) (!EARLIER(s, h))
#endif
#ifdef NO_LEASE
#define may_send(s, h) (fence[s] != 0)
#else
#define may_send(s, h) (fence[s] != 0 && (ENFORCES(h) || lease[s]))
#endif
#ifdef NO_SETTLE
#define settled(s, h) true
#else
#define settled(s, h) (!UNDER_WAY(s, h))
#endif
#ifdef NO_WHOLE
#define routable (grp[0] != 0 && ready[0])
#else
#define routable (grp[0] != 0 && ready[0] && ready[1] && grp[0] == grp[1])
#endif

#define TRUE_AT(s, h) (fence[s] != last || last == 0 || !known[AT(s, h)] || open[AT(s, h)] || \
    stale[AT(s, h)] || grp[h] == belief[AT(s, h)])
#define truth (TRUE_AT(0, 0) && TRUE_AT(0, 1) && TRUE_AT(1, 0) && TRUE_AT(1, 1))
#define whole (grp[0] != 0 && grp[0] == grp[1] && ready[0] && ready[1])
#define SEES(s) (fence[s] == last && known[AT(s, 0)] && known[AT(s, 1)] && \
    belief[AT(s, 0)] == grp[0] && belief[AT(s, 1)] == grp[1])

/* Checks the invariants. */
inline check() {
    assert(truth);
    assert(!routable || grp[0] == grp[1])
}

/* Discards the view of a steward. */
inline forget(s) {
    known[AT(s, 0)] = false; known[AT(s, 1)] = false;
    open[AT(s, 0)] = false; open[AT(s, 1)] = false;
    belief[AT(s, 0)] = 0; belief[AT(s, 1)] = 0;
    stale[AT(s, 0)] = false; stale[AT(s, 1)] = false
}

/* Updates the view of a steward to the actual state of a host. */
inline confirm(s, h) {
    known[AT(s, h)] = true;
    stale[AT(s, h)] = false;
    belief[AT(s, h)] = grp[h]
}

/* The steward fences and reads a host, or loses its term to a newer one. */
inline learn(s, h) {
    if
    :: ENFORCES(h) && fence[s] < seen[h] -> fence[s] = 0; forget(s)
    :: else ->
#ifndef NO_FENCE
        seen[h] = fence[s];
#endif
        confirm(s, h)
    fi
}

/* The steward stops waiting for the answer to an order. */
inline give_up(s, h) {
    open[AT(s, h)] = false;
#ifndef NO_REREAD
    known[AT(s, h)] = false
#endif
}

/* Writes an order to the first unused slot. */
inline put(s, h, forms, g) {
    i = 0;
    do
    :: slot[i].used -> i++
    :: else -> break
    od;
    slot[i].used = true; slot[i].is_form = forms;
    slot[i].at_term = fence[s]; slot[i].to_host = h; slot[i].of_group = g;
    open[AT(s, h)] = true;
    i = 0
}

#define FREE_SLOTS(n) (slot[0].used + slot[1].used + slot[2].used + slot[3].used <= SLOTS - n)
#define AVAILABLE(s, h) (known[AT(s, h)] && !open[AT(s, h)] && may_send(s, h))
#define FREE(s, h) (AVAILABLE(s, h) && belief[AT(s, h)] == 0)
#define BROKEN(s) (known[AT(s, 0)] && known[AT(s, 1)] && !open[AT(s, 0)] && !open[AT(s, 1)] && \
    belief[AT(s, 0)] != belief[AT(s, 1)])

active [2] proctype Steward() {
    byte i;
end:
    do
    :: atomic { fence[_pid] == 0 && mine[_pid] == 0 && last < TERMS ->
        last++; mine[_pid] = last; lease[_pid] = true }
    :: atomic { mine[_pid] != 0 ->
        if
        :: mine[_pid] == last -> fence[_pid] = last; forget(_pid)
        :: else
        fi;
        mine[_pid] = 0; check() }
    :: atomic { fence[_pid] != 0 && fence[_pid] != last -> fence[_pid] = 0; forget(_pid) }
#ifndef NO_RENEW
#ifdef NO_VOID
    :: atomic { fence[_pid] != 0 && !lease[_pid] && faults > 0 -> faults--; lease[_pid] = true }
#endif
    :: atomic { fence[_pid] != 0 && !lease[_pid] && fence[_pid] == last -> lease[_pid] = true }
#endif
    :: atomic { fence[_pid] != 0 && !known[AT(_pid, 0)] && !open[AT(_pid, 0)] ->
        learn(_pid, 0); check() }
    :: atomic { fence[_pid] != 0 && !known[AT(_pid, 1)] && !open[AT(_pid, 1)] && lease[_pid] &&
        lapsed(_pid) && quiet(_pid, 1) -> learn(_pid, 1); check() }
    :: atomic { FREE(_pid, 0) && FREE(_pid, 1) && FREE_SLOTS(2) && gen < GENERATIONS ->
        gen++; put(_pid, 0, true, gen); put(_pid, 1, true, gen) }
#ifndef NO_RELEASE
    :: atomic { BROKEN(_pid) && AVAILABLE(_pid, 0) && belief[AT(_pid, 0)] != 0 && FREE_SLOTS(1) ->
        put(_pid, 0, false, belief[AT(_pid, 0)]) }
    :: atomic { BROKEN(_pid) && AVAILABLE(_pid, 1) && belief[AT(_pid, 1)] != 0 && FREE_SLOTS(1) ->
        put(_pid, 1, false, belief[AT(_pid, 1)]) }
#endif
    :: atomic { open[AT(_pid, 0)] && settled(_pid, 0) -> give_up(_pid, 0); check() }
    :: atomic { open[AT(_pid, 1)] && settled(_pid, 1) -> give_up(_pid, 1); check() }
    :: atomic { known[AT(_pid, 0)] && stale[AT(_pid, 0)] -> known[AT(_pid, 0)] = false }
    :: atomic { known[AT(_pid, 1)] && stale[AT(_pid, 1)] -> known[AT(_pid, 1)] = false }
    od
}

/* Carries out an order at a host. The other host detects at once that a host leaves the group or joins as
 * the last member; it detects later that a host restarted or was moved by a late order (see Fault). */
inline effect(h, forms, g) {
    if
    :: forms && grp[h] == g
    :: forms && grp[h] != g && (grp[h] == 0 || !ENFORCES(h)) ->
        grp[h] = g; ready[h] = false;
        if
        :: grp[1 - h] == g -> ready[h] = true; ready[1 - h] = true
        :: else
        fi
    :: forms && grp[h] != g && grp[h] != 0 && ENFORCES(h) -> refused = true
    :: !forms && (grp[h] == g || !ENFORCES(h)) ->
        if
        :: grp[1 - h] == grp[h] -> ready[1 - h] = false
        :: else
        fi;
        grp[h] = 0; ready[h] = false
    :: !forms && grp[h] != g && ENFORCES(h) -> refused = true
    fi
}

/* The answer to an order of term t reaches steward s. */
inline answer(s, h, t) {
    if
    :: fence[s] == t && open[AT(s, h)] ->
        open[AT(s, h)] = false;
        if
        :: refused -> known[AT(s, h)] = false
        :: else -> confirm(s, h)
        fi
    :: else
    fi
}

/* Delivers the order in slot n to its host, and the answer to its steward unless the answer is lost. */
inline deliver(n) {
    host = slot[n].to_host; term = slot[n].at_term; group = slot[n].of_group; form = slot[n].is_form;
    slot[n].used = false; slot[n].is_form = false; slot[n].at_term = 0;
    slot[n].to_host = 0; slot[n].of_group = 0;
    if
    :: ENFORCES(host) && term < seen[host] && STALE_CHECK -> refused = true
    :: else ->
        if
        :: seen[host] < term -> seen[host] = term
        :: else
        fi;
        effect(host, form, group)
    fi;
    if
    :: faults > 0 -> faults--
    :: answer(0, host, term); answer(1, host, term)
    fi;
    refused = false; host = 0; term = 0; group = 0; form = false;
    check()
}

active proctype Network() {
    byte host, term, group;
    bool refused, form;
end:
    do
    :: atomic { slot[0].used -> deliver(0) }
    :: atomic { slot[1].used -> deliver(1) }
    :: atomic { slot[2].used -> deliver(2) }
    :: atomic { slot[3].used -> deliver(3) }
    od
}

/* A host restarts and loses its state. */
inline restart(h) {
    faults--;
    grp[h] = 0; ready[h] = false; seen[h] = 0;
    stale[AT(0, h)] = known[AT(0, h)];
    stale[AT(1, h)] = known[AT(1, h)]
}

#define LATE(h) (ready[h] && (grp[1 - h] != grp[h] || !ready[1 - h]))

active proctype Fault() {
end:
    do
    :: atomic { faults > 0 -> restart(0); check() }
    :: atomic { faults > 0 -> restart(1); check() }
    :: atomic { faults > 0 -> faults-- }
    :: atomic { faults > 0 && lease[0] -> faults--; lease[0] = false }
    :: atomic { faults > 0 && lease[1] -> faults--; lease[1] = false }
    :: atomic { lease[0] && fence[0] != last && mine[0] != last -> lease[0] = false }
    :: atomic { lease[1] && fence[1] != last && mine[1] != last -> lease[1] = false }
    :: atomic { LATE(0) -> ready[0] = false }
    :: atomic { LATE(1) -> ready[1] = false }
    od
}

active proctype Outcome() {
    timeout -> assert(whole && (SEES(0) || SEES(1)))
}
