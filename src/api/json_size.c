#include "api/json_size.h"

/* Returns the position behind a string whose opening quote is before i. */
static size_t
skip_string(const char *text, size_t len, size_t i)
{
	while (i < len && text[i] != '"')
		i += text[i] == '\\' ? 2 : 1;
	return i + 1;
}

bool
json_has_at_most(const char *text, size_t len, size_t max)
{
	/* Each value but the first follows a comma or an opening bracket. */
	size_t values = 1;
	size_t i = 0;

	while (i < len && values <= max) {
		char c = text[i++];

		if (c == '"')
			i = skip_string(text, len, i);
		else if (c == ',' || c == '[' || c == '{')
			values++;
	}
	return values <= max;
}
