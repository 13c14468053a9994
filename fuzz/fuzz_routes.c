/* fuzz_routes.c -- configurations: each route of a table must be found in it
   and lead somewhere, and a table must be able to replace itself  */

#include "fuzz/fuzz.h"

#include "platform/platform.h"

#include <stdlib.h>

static void
check_table (struct bl_route_table *table)
{
  size_t kept;

  for (size_t i = 0; i < table->count; i++)
    {
      const struct bl_route_entry *r = &table->routes[i];
      if (r->split_count == 0 || bl_route_choose_split (r, i) == NULL
          || bl_route_table_find (table, r->ip, r->port) == NULL)
        abort ();
    }
  if (bl_route_table_keep_unreadable (table, table, &kept) != BL_OK || kept != 0
      || bl_route_table_set_former (table, table) != BL_OK)
    abort ();
}

int
fuzz_input (const uint8_t *data, size_t size)
{
  static struct bl_findings findings;
  struct bl_str text = { (const char *)data, size };
  struct bl_route_table *table;

  findings.count = 0;
  if (platform_route_table_parse (&table, text, &findings) == BL_OK)
    check_table (table);
  bl_route_table_free (table);
  return 0;
}
