/* config.c -- the configuration that an instance holds

   Services are kept in a list that is ordered by the version of their last
   change, so the services that changed after version V are the tail of the
   list, and no log of changes is needed.  Removed services stay in the list as
   tombstones.  The version only increases: an update that starts after the
   version held, or does not end after it, is rejected.  */

#include "boragelatch.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

struct service_entry
{
  struct bl_service *service;
  struct service_entry *prev; /* ordered by version of last change */
  struct service_entry *next;
  UT_hash_handle hh;
};

struct listener_key
{
  uint32_t address;
  uint32_t port;
};

/* A listener, found by its address and port.  */
struct listener_entry
{
  struct listener_key key;
  const struct bl_service *service;
  const struct bl_listener *listener;
  UT_hash_handle hh;
};

struct bl_config
{
  uint64_t version;
  size_t count; /* of services that are not removed */
  struct service_entry *by_name;
  struct service_entry *by_change; /* list, oldest change first */
  struct listener_entry *by_address;
};

struct bl_config *
bl_config_new (void)
{
  return calloc (1, sizeof (struct bl_config));
}

static void
remove_listeners (struct bl_config *config, const struct bl_service *service)
{
  for (size_t i = 0; i < service->listener_count; i++)
    {
      struct listener_key key
          = { service->address, service->listeners[i].port };
      struct listener_entry *entry;
      HASH_FIND (hh, config->by_address, &key, sizeof key, entry);
      if (entry == NULL || entry->service != service)
        continue;
      HASH_DEL (config->by_address, entry);
      free (entry);
    }
}

static void
add_listeners (struct bl_config *config, const struct bl_service *service)
{
  if (service->removed)
    return;
  for (size_t i = 0; i < service->listener_count; i++)
    {
      struct listener_key key
          = { service->address, service->listeners[i].port };
      struct listener_entry *entry;
      HASH_FIND (hh, config->by_address, &key, sizeof key, entry);
      if (entry == NULL)
        {
          entry = calloc (1, sizeof *entry);
          if (entry == NULL)
            return;
          entry->key = key;
          HASH_ADD (hh, config->by_address, key, sizeof entry->key, entry);
        }
      entry->service = service;
      entry->listener = &service->listeners[i];
    }
}

void
bl_config_free (struct bl_config *config)
{
  struct service_entry *e;
  struct service_entry *next;

  if (config == NULL)
    return;
  HASH_ITER (hh, config->by_name, e, next)
  {
    remove_listeners (config, e->service);
    HASH_DEL (config->by_name, e);
    bl_service_free (e->service);
    free (e);
  }
  free (config);
}

uint64_t
bl_config_version (const struct bl_config *config)
{
  return config->version;
}

size_t
bl_config_count (const struct bl_config *config)
{
  return config->count;
}

static struct service_entry *
find_entry (const struct bl_config *config, const struct bl_name *name)
{
  struct service_entry *e;
  HASH_FIND (hh, config->by_name, name, sizeof *name, e);
  return e;
}

/* Adds an entry marked as removed for each new service.  This is done before
   the update is applied, so that no service is changed if memory runs out.  */
static int
reserve_entries (struct bl_config *config,
                 struct bl_service **services,
                 size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct service_entry *e;
      if (find_entry (config, &services[i]->name) != NULL)
        continue;
      e = calloc (1, sizeof *e);
      if (e == NULL)
        return BL_ENOMEM;
      e->service = calloc (1, sizeof *e->service);
      if (e->service == NULL)
        {
          free (e);
          return BL_ENOMEM;
        }
      e->service->removed = true;
      e->service->name = services[i]->name;
      HASH_ADD_KEYPTR (hh, config->by_name, &e->service->name,
                       sizeof e->service->name, e);
      DL_APPEND (config->by_change, e);
    }
  return BL_OK;
}

/* Inserts E after all services that did not change later.  The search starts at
   the end and is short, because applied services are usually the newest.  */
static void
insert_by_change (struct bl_config *config, struct service_entry *e)
{
  struct service_entry *at
      = config->by_change != NULL ? config->by_change->prev : NULL;

  while (at != NULL && at->service->changed > e->service->changed)
    at = at == config->by_change ? NULL : at->prev;
  if (at == NULL)
    DL_PREPEND (config->by_change, e);
  else
    DL_APPEND_ELEM (config->by_change, at, e);
}

static void
replace_service (struct bl_config *config, struct bl_service *service)
{
  struct service_entry *e = find_entry (config, &service->name);

  remove_listeners (config, e->service);
  config->count -= e->service->removed ? 0 : 1;
  config->count += service->removed ? 0 : 1;
  HASH_DEL (config->by_name, e);
  DL_DELETE (config->by_change, e);
  bl_service_free (e->service);
  e->service = service;
  HASH_ADD_KEYPTR (hh, config->by_name, &service->name, sizeof service->name,
                   e);
  insert_by_change (config, e);
}

int
bl_config_apply (struct bl_config *config,
                 uint64_t from,
                 uint64_t up_to,
                 struct bl_service **services,
                 size_t count)
{
  if (up_to <= config->version || from > config->version)
    return BL_ESTALE;
  for (size_t i = 0; i < count; i++)
    if (services[i]->changed > up_to)
      return BL_ERANGE;
  if (reserve_entries (config, services, count) != BL_OK)
    return BL_ENOMEM;
  for (size_t i = 0; i < count; i++)
    replace_service (config, services[i]);
  /* A change may move an address from one service to another, so listeners are
     added after all old ones have been removed.  */
  for (size_t i = 0; i < count; i++)
    add_listeners (config, services[i]);
  config->version = up_to;
  return BL_OK;
}

const struct bl_service *
bl_config_find (const struct bl_config *config, const struct bl_name *name)
{
  struct service_entry *e = find_entry (config, name);
  return e != NULL && !e->service->removed ? e->service : NULL;
}

const struct bl_service *
bl_config_lookup (const struct bl_config *config,
                  uint32_t address,
                  uint16_t port,
                  const struct bl_listener **listener)
{
  struct listener_key key = { address, port };
  struct listener_entry *entry;

  HASH_FIND (hh, config->by_address, &key, sizeof key, entry);
  if (entry == NULL)
    return NULL;
  if (listener != NULL)
    *listener = entry->listener;
  return entry->service;
}

size_t
bl_config_since (const struct bl_config *config,
                 uint64_t from,
                 const struct bl_service **out,
                 size_t max,
                 uint64_t *up_to)
{
  struct service_entry *e;
  struct service_entry *first = NULL;
  size_t n = 0;

  /* Recent changes are at the end of the list, so the search starts there.  */
  if (config->by_change != NULL)
    for (e = config->by_change->prev; e->service->changed > from; e = e->prev)
      {
        first = e;
        if (e == config->by_change)
          break;
      }
  *up_to = config->version;
  for (e = first; e != NULL; e = e->next)
    {
      if (n == max)
        {
          /* Drop the services of a version that would be split.  */
          uint64_t split_version = e->service->changed;
          while (n > 0 && out[n - 1]->changed == split_version)
            n--;
          *up_to = n > 0 ? out[n - 1]->changed : from;
          return n;
        }
      out[n++] = e->service;
    }
  return n;
}
