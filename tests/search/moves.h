#ifndef SEARCH_MOVES_H
#define SEARCH_MOVES_H

/* Choices of the lease search: what may happen next in a state of the model. */

#include "search/model.h"

enum move_type {
	MOVE_PASS, /* deliver what isn't held up, and let time pass */
	/* Of a pending message or order: */
	MOVE_HOLD,       /* it is held up */
	MOVE_NO_ANSWER,  /* order: it is executed, the answer is lost */
	MOVE_REPEAT,     /* message: it is delivered, a copy is held up */
	MOVE_RELEASE,    /* what was held up arrives */
	MOVE_HOLD_RENEW, /* the next renewal to a worker is held up */
	/* The next answer of a worker is held up; the variant is the kind of
	 * its order. */
	MOVE_HOLD_ANSWER,
	MOVE_HOLD_ANNOUNCE, /* the next announcement to an entry is held up */
	/* Of a process: */
	MOVE_KILL_ENTRY,
	MOVE_KILL_AGENT,
	MOVE_RESTART,
	MOVE_FREEZE_ENTRY,
	MOVE_FREEZE_AGENT,
	MOVE_THAW, /* the variant tells what comes first, enum thaw */
	/* Of a link between an entry and an agent, and to a worker: */
	MOVE_CUT,   /* both ways */
	MOVE_STALL, /* one way; what is sent waits */
	MOVE_HEAL,
	MOVE_CUT_WORKER,
	MOVE_MUTE_WORKER, /* its answers are lost */
	MOVE_HEAL_WORKER,
	/* Of a worker: */
	MOVE_RESTART_WORKER, /* as a new incarnation, at once; variant 1: under
				a new id */
	MOVE_CRASH_WORKER,
	MOVE_START_WORKER, /* after a crash, as MOVE_RESTART_WORKER */
	MOVE_ODD_REPORT,   /* the variant tells which, enum model_odd_report */
	MOVE_FINISH,       /* a run ends well */
	MOVE_BREAK,        /* the connection of the caller breaks */
	MOVE_TYPES
};

/* What a process handles first that goes on after it was frozen. */
enum thaw {
	THAW_TICK,     /* its timers, then what has arrived, in order */
	THAW_IN_ORDER, /* what has arrived, in order, then its timers */
	THAW_ANSWERS,  /* answers of the worker */
	THAW_TIMEOUTS, /* late answers count as none, and come first */
	THAW_VARIANTS
};

struct move {
	uint8_t type;
	uint8_t a; /* index, node, agent or duration, by the type */
	uint8_t b; /* other node, or variant */
};

/* What a search may do. A budget is the number of moves of a type in one path;
 * UNLIMITED for those that only end a fault. */
struct move_limits {
	unsigned budgets[MOVE_TYPES];
	unsigned faults; /* moves with a budget, of all types together */
};

#define MOVE_UNLIMITED  255
#define MOVE_PASS_TIMES 3 /* times that may pass */

/* Moves that led to a state. */
struct move_counts {
	unsigned by_type[MOVE_TYPES]; /* those with a budget */
	enum move_type last;          /* MOVE_TYPES: none */
	unsigned faults;
};

/* Returns true if one more move of a type is within the limits. */
bool moves_are_allowed(const struct move_limits *limits,
    const struct move_counts *counts, enum move_type type);

/* Adds the moves that are possible to an array of struct move. */
void moves_list(GArray *moves, const struct model *m,
    const struct move_limits *limits, const struct move_counts *counts);

/* Applies a move and counts it. */
void moves_apply(struct model *m, const struct move *move,
    const struct move_limits *limits, struct move_counts *counts);

/* Appends a description of a move in the present state. */
void moves_describe(
    GString *out, const struct model *m, const struct move *move);

#endif
