/*
 * Model of idempotency keys: two nodes that each claim the same key by appending to the log, and a key
 * that a node generates itself.
 *
 * Abstractions. Time is counted in ticks; the log and the nodes share one clock. A process that isn't
 * scheduled is suspended, but the check before a request is sent and its sending are one step. The log
 * is unavailable while no append and no read is scheduled. An append can take effect at any time after
 * it was sent or never (then it isn't scheduled); its answer matters only if it says that nothing was
 * stored. The log may drop its oldest records at any time. Nodes also claim keys that they could refuse at
 * once. A node reads the log when it needs a verdict, or before records are dropped. The second node may
 * restart. Initially either the log contains the record of one abandoned claim, or one claim of the
 * budget is used up. An abandoned claim can't be told from others any more: its record or append only
 * repeats the key. One run of the model follows either claims in the log or a generated ("minted") key.
 *
 * Invariants: two requests of one key are never sent within WINDOW - WITHIN ticks of each other
 * (once); a request that was refused as not run is not sent, before or after (true refusal).
 *
 * Every step uses up a budget, so there are no cycles; the loops are labelled as progress.
 *
 * bounds: ATTEMPTS=3 TICKS=4 RESTARTS=1 TRIMS=1
 * deep-bounds: ATTEMPTS=3 TICKS=5 RESTARTS=1 TRIMS=1
 * cycle-bounds: ATTEMPTS=3 TICKS=3 RESTARTS=1 TRIMS=1
 * mutant: NO_READ_BACK    a claim counts as the first when its append is answered
 * mutant: NO_PLACE        a claim counts as the first when it is read back, whatever records precede it
 * mutant: NO_START_BOUND  a request is sent however late the verdict arrives
 * mutant: NO_COMPLETE     a claim counts as the first before its node has read a whole window
 * mutant: NO_GAP          a node continues after dropped records as if none were missing
 * mutant: NO_SLIDE        a repeated claim doesn't restart the window
 * mutant: NO_BATCH        the record of an earlier claim decides a later one
 * mutant: NO_REFUSED      a claim is decided although it was refused
 * mutant: NO_INCARNATION  a restarted node accepts the keys that it generated before the restart
 * mutant: NO_EXPIRY       a generated key is accepted after the node may have forgotten it
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
byte oldest;               /* index of the oldest retained record */
byte at[RECORDS];          /* time of a record */
byte of_node[RECORDS];     /* 1 + node whose current claim the record is; 0: an abandoned claim */
byte loose[2];             /* appends of a node's abandoned claims that can still take effect */

/* nodes */
byte position[2];          /* index of the next record to read */
mtype coverage[2] = all;
byte since[2];             /* time of the first record read, if coverage is from_time */
byte read_time[2];         /* time of the last record read */
bool known[2];             /* the key is within the window */
byte last[2];              /* time of the key's last record */
mtype state[2] = idle;
bool flying[2];            /* the append of the current claim can still take effect */
byte claimed[2];           /* time of the current claim */
bool refused[2];           /* the caller was told that the request of the current claim did not run */

/* requests */
bool is_sent;
byte sent_at;

/* the generated key */
byte minted_at;
bool is_foreign;           /* the node has restarted since it generated the key */
bool accepted;
byte accepted_at;

bool is_first;
byte r;

#ifdef NO_COMPLETE
#define COMPLETE(i) true
#else
#define COMPLETE(i) (coverage[i] == all || (coverage[i] == from_time && read_time[i] - since[i] > WINDOW))
#endif

/* Abandons the current claim of the node. */
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

/* The node makes a claim and sends its append. */
inline claim(i) {
    d_step { claims++; flying[i] = true; claimed[i] = now; state[i] = waiting }
}

/* The append of the current claim takes effect. */
inline store(i) {
    d_step {
        flying[i] = false;
        at[stored] = now; of_node[stored] = i + 1; stored++;
#ifdef NO_READ_BACK
        state[i] = first
#endif
    }
}

/* The append of an abandoned claim takes effect. */
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

/* Starts to read at the oldest retained record. */
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

/* Reads the next record and decides the current claim if the record belongs to it. */
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

/* Sends the request of a claim that came first, unless the claim is too old. */
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

/* The claim has timed out: the request is refused. */
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

/* Advances the time; resets times that have no effect any more. */
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

/* A request with the generated key arrives. */
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
