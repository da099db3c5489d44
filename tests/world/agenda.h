#ifndef MST_WORLD_AGENDA_H
#define MST_WORLD_AGENDA_H

/* What is due in a world, by time and then by the order of scheduling. */

#include "world/world.h"

enum happening_type {
	HAPPEN_TICK = 1,
	HAPPEN_MESSAGE,
	HAPPEN_FINISH,
	HAPPEN_WAKE,   /* of a worker, whatever became of its agent */
	HAPPEN_ANSWER, /* of a worker to its agent */
	HAPPEN_STORE,  /* an operation arrives, whatever became of its node */
	HAPPEN_STORED  /* its answer */
};

struct answer_copy;

/* Something due at a time. */
struct happening {
	int64_t at_us;
	uint64_t order;
	enum happening_type type;
	int node;
	uint32_t life; /* of the node; stale ones are dropped */
	GByteArray *bytes;
	uint64_t run;
	struct world_service service;
	struct answer_copy *answer;
	struct store_work *work; /* STORE, STORED */
	bool silent;             /* STORE, STORED: its answer is lost */
	bool given_up;           /* STORE: nobody waits for the answer */
	char *body;
};

struct agenda {
	GPtrArray *heap; /* struct happening */
	uint64_t order;
};

void agenda_init(struct agenda *agenda);
void agenda_clear(struct agenda *agenda);
void agenda_push(struct agenda *agenda, struct happening *h);

/* Takes what is due first, if it is due by a time; else NULL. */
struct happening *agenda_pop(struct agenda *agenda, int64_t until_us);

/* An answer with memory of its own. */
struct answer_copy *answer_copy_new(const struct mst_order_answer *answer);
const struct mst_order_answer *answer_copy_get(const struct answer_copy *copy);

void happening_free(struct happening *h);

#endif
