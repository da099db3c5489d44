#ifndef MST_INPUT_FAULT_H
#define MST_INPUT_FAULT_H

/*
 * Faults of input from other processes: reports and answers of workers, and
 * rows of the store, which others may write too. Input with a fault is ignored;
 * it is counted by kind, and logged at a limited rate, because a row that stays
 * as it is has the same fault whenever it is read.
 */

#include <stdint.h>

/* Kinds of input. */
enum input_kind {
	INPUT_REPORT = 1,    /* report of a worker */
	INPUT_ORDER_ANSWER,  /* answer of a worker to an order */
	INPUT_STORE_ANSWER,  /* answer of the store, or a row without a key */
	INPUT_CONFIG,        /* configuration */
	INPUT_DRAIN,         /* row of a drained failure domain */
	INPUT_ENTRY_ADDRESS, /* address of an entry, from a row or a member */
	INPUT_CANCEL,        /* row of a cancelled job */
	INPUT_JOB,           /* row of a stored job */
	INPUT_RECORD,        /* row of a job's record */
	INPUT_OWNER,         /* row of an owner of records */
	INPUT_KEPT_REPORT,   /* report that was kept in the store */
	INPUT_KEPT_CRASH,    /* crashes that were kept in the store */
	INPUT_KIND_MAX
};

enum input_fault_kind {
	INPUT_FAULT_SYNTAX = 1, /* not JSON, nested too deeply, no object */
	INPUT_FAULT_ENCODING,   /* not base64 or not UTF-8 */
	INPUT_FAULT_MISSING,    /* a required field is absent */
	INPUT_FAULT_TYPE,       /* a field has another type */
	INPUT_FAULT_RANGE,      /* a number is out of range or not whole */
	INPUT_FAULT_LENGTH,     /* a text or a list is too short or too long */
	INPUT_FAULT_NAME,       /* a name is not a known one, or malformed */
	INPUT_FAULT_ADDRESS,    /* not an IPv4 address with a port */
	INPUT_FAULT_METHOD,     /* a request with a method that is not served */
	INPUT_FAULT_KIND_MAX
};

struct input_fault {
	enum input_fault_kind kind; /* 0: none */
	const char *field;          /* name of the field; static */
};

/* Return the names used in logs and metrics; static. */
const char *input_kind_name(int kind);
const char *input_fault_kind_name(int kind);

/**
 * Counts input that is ignored for a fault. It is logged as well, unless the
 * same fault of the same input was logged within the last minute.
 *
 * @param kind kind of the input
 * @param name tells which one of its kind it is, such as the key of a row; any
 *     text
 * @param fault the fault
 */
void input_fault_report(
    enum input_kind kind, const char *name, const struct input_fault *fault);

/* Returns how often input of a kind was ignored for a kind of fault. */
uint64_t input_fault_count(int kind, int fault_kind);

#endif
