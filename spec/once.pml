/*
 * Started keys: two nodes that each take claims of one key and append them to the log, and the keys
 * that a node mints for itself.
 *
 * Abstractions. Time is counted in ticks and is the log's time as well as the nodes'; a process that
 * isn't scheduled is paused, but the check before a request is sent and its sending are one step. The
 * log is away while no append and no reading is scheduled. An append can take effect at any time after
 * it was sent, or never (then it isn't scheduled); its answer matters only when it says that nothing was stored. The log may
 * forget any oldest records at any time. Nodes claim also what they could refuse at once.
 * A node reads on when it needs a verdict, or before records are lost; the second node may restart.
 * At the beginning the log holds the record of one claim that was given up, or there is one claim less. A claim that
 * its node has given up has no name any more: its record or append only repeats the key. One run of the
 * model follows either claims in the log or a minted key.
 *
 * Invariants: two requests of one key are never sent within WINDOW - WITHIN ticks of each other
 * (once); a request that was refused as not run is not sent, before or after (true refusal).
 *
 * Every step uses up a budget, so that there are no cycles; the loops are marked as progress.
 *
 * bounds: ATTEMPTS=3 TICKS=4 RESTARTS=1 TRIMS=1
 * deep-bounds: ATTEMPTS=3 TICKS=5 RESTARTS=1 TRIMS=1
 * cycle-bounds: ATTEMPTS=3 TICKS=3 RESTARTS=1 TRIMS=1
 * mutant: NO_READ_BACK    a claim counts as the first when its append is answered
 * mutant: NO_PLACE        a claim counts as the first when it is read back, whatever stands before it
 * mutant: NO_START_BOUND  a request is sent whenever the verdict arrives
 * mutant: NO_COMPLETE     a node claims before it has read a whole window
 * mutant: NO_GAP          a node reads on after a gap as if nothing was missing
 * mutant: NO_SLIDE        a repeated claim doesn't begin the window anew
 * mutant: NO_BATCH        the record of an earlier claim decides a later one
 * mutant: NO_REFUSED      a claim is decided although it was refused
 * mutant: NO_INCARNATION  a restarted node accepts the keys that it minted before
 * mutant: NO_EXPIRY       a minted key is accepted after the node may have forgotten it
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef TICKS
#define TICKS 5
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef TRIMS
#define TRIMS 1
#endif
#define WINDOW 2
#define WITHIN 1
#define RECORDS (ATTEMPTS + 1)

mtype = { idle, waiting, first };
mtype = { all, from_next, from_time };

byte now;
byte claims;               /* claims made so far */
byte restarts = RESTARTS;
byte trims = TRIMS;

/* the log */
byte stored;               /* number of records */
byte oldest;               /* oldest record that is kept */
byte at[RECORDS];          /* time of a record */
byte of_node[RECORDS];     /* node whose present claim the record is, from 1; 0: a claim given up */
byte loose[2];             /* appends of a node's claims that were given up, not yet in the log */

/* nodes */
byte position[2];          /* next record to read */
mtype coverage[2] = all;
byte since[2];             /* time of the first record that was read, with from_time */
byte read_time[2];         /* time of the last record that was read */
bool known[2];             /* the key is within the window */
byte last[2];              /* time of the key's last record */
mtype state[2] = idle;
bool flying[2];            /* the append of the present claim can still take effect */
byte claimed[2];           /* when the present claim was made */
bool refused[2];           /* the caller was told that the present claim's request did not run */

/* requests */
bool is_sent;
byte sent_at;

/* the minted key */
byte minted_at;
bool is_foreign;           /* the node restarted since it made the key */
bool accepted;
byte accepted_at;

bool is_first;
byte r;

#ifdef NO_COMPLETE
#define COMPLETE(i) true
#else
#define COMPLETE(i) (coverage[i] == all || (coverage[i] == from_time && read_time[i] - since[i] > WINDOW))
#endif

/* The node has no claim any more. */
inline forget(i) {
    state[i] = idle; claimed[i] = 0; refused[i] = false;
    if
    :: flying[i] -> flying[i] = false; loose[i]++
    :: else
    fi;
#ifndef NO_BATCH
    r = 0;
    do
    :: r < RECORDS ->
        if
        :: of_node[r] == i + 1 -> of_node[r] = 0
        :: else
        fi;
        r++
    :: else -> break
    od;
    r = 0
#endif
}

inline claim(i) {
    d_step { claims++; flying[i] = true; claimed[i] = now; state[i] = waiting }
}

/* The append of the present claim takes effect. */
inline store(i) {
    d_step {
        flying[i] = false;
        at[stored] = now; of_node[stored] = i + 1; stored++;
#ifdef NO_READ_BACK
        state[i] = first
#endif
    }
}

/* The append of a claim that was given up takes effect. */
inline store_loose(i) {
    d_step {
        loose[i]--;
        at[stored] = now;
#ifdef NO_BATCH
        of_node[stored] = i + 1;
#endif
        stored++
    }
}

/* The log answers that it stored nothing: the request is refused. */
inline reject(i) {
    d_step { flying[i] = false; forget(i) }
}

/* Begins to read at the oldest record that is kept. */
inline begin(i) {
    position[i] = oldest; since[i] = 0;
#ifdef NO_GAP
    coverage[i] = all
#else
    if
    :: oldest == 0 -> coverage[i] = all
    :: else -> coverage[i] = from_next
    fi
#endif
}

inline fold(i) {
    d_step {
        read_time[i] = at[position[i]];
        if
        :: coverage[i] == from_next -> coverage[i] = from_time; since[i] = read_time[i]
        :: else
        fi;
        if
        :: known[i] && read_time[i] - last[i] > WINDOW -> known[i] = false; last[i] = 0
        :: else
        fi;
        is_first = false;
        if
        :: !known[i] -> is_first = true; known[i] = true; last[i] = read_time[i]
#ifndef NO_SLIDE
        :: known[i] -> last[i] = read_time[i]
#endif
        :: else
        fi;
#ifdef NO_PLACE
        is_first = true;
#endif
        if
        :: of_node[position[i]] == i + 1 && state[i] == waiting ->
            if
            :: is_first && COMPLETE(i) -> state[i] = first
            :: else -> forget(i)
            fi
        :: else
        fi;
        is_first = false;
        position[i]++;
        r = position[i] - 1;
        if
        :: restarts == 0 && position[0] > r && position[1] > r -> at[r] = 0
        :: else
        fi;
        r = 0
    }
}

inline start(i) {
    d_step {
        if
#ifdef NO_START_BOUND
        :: true ->
#else
        :: now - claimed[i] <= WITHIN ->
#endif
            assert(!refused[i]);
            assert(!is_sent || now - sent_at > WINDOW - WITHIN);
            is_sent = true; sent_at = now
#ifndef NO_START_BOUND
        :: else
#endif
        fi;
        forget(i)
    }
}

/* The time for the claim is over: the request is refused. */
inline give_up(i) {
    d_step {
#ifdef NO_REFUSED
        refused[i] = true
#else
        forget(i)
#endif
    }
}

inline restart(i) {
    d_step {
        restarts--;
        read_time[i] = 0; known[i] = false; last[i] = 0;
        forget(i);
        begin(i)
    }
}

#define NODE(i) \
    :: state[i] == idle && claims < ATTEMPTS -> claim(i) \
    :: flying[i] -> store(i) \
    :: flying[i] -> reject(i) \
    :: loose[i] > 0 -> store_loose(i) \
    :: position[i] < oldest -> d_step { begin(i) } \
    :: position[i] >= oldest && position[i] < stored && (state[i] == waiting || trims > 0) -> fold(i) \
    :: state[i] == first -> start(i) \
    :: state[i] == waiting && now - claimed[i] >= WITHIN && !refused[i] -> give_up(i)

/* Time goes on; times that make no difference any more are forgotten. */
inline tick() {
    d_step {
        now++;
        if
        :: is_sent && now - sent_at > WINDOW - WITHIN -> is_sent = false; sent_at = 0
        :: else
        fi
    }
}

inline follow_log() {
    if
    :: claims = 1
    :: stored = 1
    fi;
progress_log:
    do
    NODE(0)
    NODE(1)
    :: restarts > 0 -> restart(1)
    :: trims > 0 && oldest < stored -> d_step { trims--; oldest++ }
    :: now < TICKS -> tick()
    :: now == TICKS -> break
    od
}

inline admit() {
    d_step {
        if
        :: accepted && now - accepted_at > WINDOW -> accepted = false; accepted_at = 0
        :: else
        fi;
        if
#ifndef NO_INCARNATION
        :: is_foreign
#endif
#ifndef NO_EXPIRY
        :: now - minted_at > WINDOW
#endif
        :: accepted
        :: else -> assert(!is_sent); is_sent = true; accepted = true; accepted_at = now
        fi
    }
}

inline follow_minted() {
    minted_at = now;
progress_minted:
    do
    :: now < 2 * TICKS -> admit(); now++
    :: now < 2 * TICKS -> now++
    :: restarts > 0 -> d_step { restarts--; is_foreign = true; accepted = false; accepted_at = 0 }
    :: now == 2 * TICKS -> break
    od
}

init {
    if
    :: follow_minted()
    :: follow_log()
    fi
}
