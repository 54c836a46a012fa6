/*
 * Model of nodes that follow the catalog in the store's log, while the store comes back from older copies: it
 * loses its newest records, gives their offsets out again and begins a new era.
 *
 * Abstractions. The log contains only the catalog; a record is its version. The operator writes version after
 * version, and the newest one again when the store has lost it. A node reads the next record at its position,
 * or the newest one if the store is in another era or doesn't have that offset. Nodes also take the newest
 * version from each other. Budgets bound all loops.
 *
 * Invariants: the version in force at a node never goes back; a node that has read everything has the version in
 * force that was acknowledged last, if the store has it.
 *
 * bounds: VERSIONS=4 RESTORES=2 READS=6 PULLS=2
 * mutant: NO_ERA      a node compares offsets without the era
 * mutant: NO_VERSION  a record of a newer era replaces one with a newer version
 */
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef RESTORES
#define RESTORES 2
#endif
#ifndef READS
#define READS 5
#endif
#ifndef PULLS
#define PULLS 1
#endif
#define RECORDS 8

#ifdef NO_ERA
#define SAME_ERA(n) true
#define IS_NEW(n, offset) ((offset) >= next[n])
#else
#define SAME_ERA(n) (read_era[n] == era)
#define IS_NEW(n, offset) (read_era[n] != era || (offset) >= next[n])
#endif
#ifdef NO_VERSION
#define REPLACES(n, v) true
#else
#define REPLACES(n, v) ((v) > version[n])
#endif

byte era = 1;           /* era of the store */
byte size;               /* number of records in the log */
byte log[RECORDS];      /* version in each record */
byte acked;             /* newest version that was acknowledged to the operator */

byte read_era[2];       /* era of a node's position; 0: it has read nothing */
byte next[2];           /* offset at which a node reads on */
byte version[2];        /* version in force at a node */

byte restores = RESTORES;
byte reads = READS;
byte pulls = PULLS;

#define NEWEST (size > 0 -> log[size - 1] : 0)

/* Takes a version over. */
inline apply(n, v) {
    if
    :: REPLACES(n, v) -> assert(v >= version[n]); version[n] = v
    :: !REPLACES(n, v) -> skip
    fi
}

/* Reads the newest record and continues after it. */
inline read_newest(n) {
    if
    :: size > 0 && IS_NEW(n, size - 1) -> apply(n, log[size - 1])
    :: else -> skip
    fi;
    if
    :: IS_NEW(n, size) -> next[n] = size
    :: else -> skip
    fi;
    read_era[n] = era
}

proctype node(byte n) {
end:
    do
    :: atomic { reads > 0 && SAME_ERA(n) && read_era[n] != 0 && next[n] < size ->
        reads--; apply(n, log[next[n]]); next[n]++; read_era[n] = era }
    :: atomic { reads > 0 && (!SAME_ERA(n) || read_era[n] == 0 || next[n] > size) -> reads--; read_newest(n) }
    :: atomic { pulls > 0 && version[1 - n] > version[n] -> pulls--; version[n] = version[1 - n] }
    :: atomic { SAME_ERA(n) && read_era[n] == era && next[n] >= size && NEWEST == acked ->
        assert(version[n] >= acked); break }
    od
}

proctype operator() {
end:
    do
    :: atomic { acked < VERSIONS && size < RECORDS && NEWEST == acked ->
        acked++; log[size] = acked; size++ }
    :: atomic { NEWEST < acked && size < RECORDS -> log[size] = acked; size++ }
    od
}

proctype store() {
end:
    do
    :: atomic { restores > 0 && size > 0 -> restores--; era++; size-- }
    :: atomic { restores > 0 && size > 1 -> restores--; era++; size = size - 2 }
    od
}

init { atomic { run node(0); run node(1); run operator(); run store() } }
