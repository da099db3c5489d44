/* Simplified definitions of macros from libraries, for cppcheck only. */
#define G_DEFINE_QUARK(a, b)
#define G_GNUC_PRINTF(a, b)
#define cJSON_ArrayForEach(a, b)   for (a = (b)->child; a != NULL; a = a->next)
#define g_assert_cmpint(a, b, c)   ((void)((a)b(c)))
#define g_assert_cmpfloat(a, b, c) ((void)((a)b(c)))
#define g_assert_cmpuint(a, b, c)  ((void)((a)b(c)))
#define g_assert_cmpstr(a, b, c)   ((void)(a), (void)(c))
