/* handover.c -- the flow table that a pass-through agent leaves to its next
   process, as JSON

   An agent that restarts knows none of the flows of its backend server, so it
   cannot tell which it holds until each has had a packet.  A planned restart
   need not lose the table: the process that stops writes it to the platform's
   store, and the next one reads it.

   The flows are one string of hexadecimal digits with a fixed number for each
   field, since a JSON object for each flow would be several times as long.  */

#include "core/handover.h"
#include "core/json.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FLOW_DIGITS 41

enum flow_flag
{
  FLAG_NEXT_SEQ_KNOWN = 1,
  FLAG_ESTABLISHED = 2,
  FLAG_CLOSED = 4,
  FLAGS_END = 8,
};

void
bl_handover_clear (struct bl_handover *handover)
{
  free (handover->flows);
  *handover = (struct bl_handover){ .count = 0 };
}

static void
format_flow (const struct bl_handover_flow *f, char *out)
{
  unsigned flags = (f->next_seq_known ? FLAG_NEXT_SEQ_KNOWN : 0)
                   | (f->established ? FLAG_ESTABLISHED : 0)
                   | (f->closed ? FLAG_CLOSED : 0);

  snprintf (out, FLOW_DIGITS + 1,
            "%08" PRIx32 "%08" PRIx32 "%04x%04x%08" PRIx32 "%08" PRIx32 "%x",
            f->key.src_ip, f->key.dst_ip, f->key.src_port, f->key.dst_port,
            f->first_seq, f->next_seq, flags);
}

char *
bl_handover_format (const struct bl_handover *handover)
{
  char *flows = NULL;
  char *text = NULL;
  json_t *json;

  if (handover->count <= BL_HANDOVER_FLOWS_MAX)
    flows = malloc (handover->count * FLOW_DIGITS + 1);
  if (flows == NULL)
    return NULL;
  flows[0] = '\0';
  for (size_t i = 0; i < handover->count; i++)
    format_flow (&handover->flows[i], flows + i * FLOW_DIGITS);
  json = json_pack ("{s:I, s:I, s:I, s:I, s:s}", "incarnation",
                    (json_int_t)handover->incarnation, "store_era",
                    (json_int_t)handover->store_era, "incomplete_ms",
                    (json_int_t)handover->incomplete_ms, "stopped_ms",
                    (json_int_t)handover->stopped_ms, "flows", flows);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  free (flows);
  return text;
}

/* Reads a field of COUNT digits and advances *TEXT past it.  Returns false at
   any other character.  */
static bool
read_digits (const char **text, unsigned count, uint32_t *out)
{
  *out = 0;
  for (unsigned i = 0; i < count; i++)
    {
      const char *digits = "0123456789abcdef";
      const char *digit = **text != '\0' ? strchr (digits, **text) : NULL;
      if (digit == NULL)
        return false;
      *out = *out << 4 | (uint32_t)(digit - digits);
      ++*text;
    }
  return true;
}

static bool
parse_flow (struct bl_handover_flow *f, const char *text)
{
  uint32_t src_port;
  uint32_t dst_port;
  uint32_t flags;

  if (!read_digits (&text, 8, &f->key.src_ip)
      || !read_digits (&text, 8, &f->key.dst_ip)
      || !read_digits (&text, 4, &src_port)
      || !read_digits (&text, 4, &dst_port)
      || !read_digits (&text, 8, &f->first_seq)
      || !read_digits (&text, 8, &f->next_seq)
      || !read_digits (&text, 1, &flags) || flags >= FLAGS_END)
    return false;
  f->key.src_port = (uint16_t)src_port;
  f->key.dst_port = (uint16_t)dst_port;
  f->next_seq_known = (flags & FLAG_NEXT_SEQ_KNOWN) != 0;
  f->established = (flags & FLAG_ESTABLISHED) != 0;
  f->closed = (flags & FLAG_CLOSED) != 0;
  return true;
}

static int
parse_flows (struct bl_handover *out, const char *text)
{
  size_t len = strlen (text);

  if (len % FLOW_DIGITS != 0 || len / FLOW_DIGITS > BL_HANDOVER_FLOWS_MAX)
    return BL_EFORMAT;
  out->count = len / FLOW_DIGITS;
  out->flows = calloc (out->count + 1, sizeof *out->flows);
  if (out->flows == NULL)
    return BL_ENOMEM;
  for (size_t i = 0; i < out->count; i++)
    if (!parse_flow (&out->flows[i], text + i * FLOW_DIGITS))
      return BL_EFORMAT;
  return BL_OK;
}

/* Reads a member that is a number of 0 or more.  */
static bool
read_number (const json_t *json, const char *field, uint64_t *out)
{
  const json_t *value = json_object_get (json, field);
  json_int_t n = json_integer_value (value);

  *out = (uint64_t)n;
  return json_is_integer (value) && n >= 0;
}

int
bl_handover_parse (struct bl_handover *out, const char *text)
{
  json_t *json = bl_json_parse (bl_str_of (text), NULL);
  const char *flows = json_string_value (json_object_get (json, "flows"));
  int err = BL_EFORMAT;

  *out = (struct bl_handover){ .count = 0 };
  if (flows != NULL && read_number (json, "incarnation", &out->incarnation)
      && read_number (json, "store_era", &out->store_era)
      && read_number (json, "incomplete_ms", &out->incomplete_ms)
      && (json_object_get (json, "stopped_ms") == NULL
          || read_number (json, "stopped_ms", &out->stopped_ms)))
    err = parse_flows (out, flows);
  if (err != BL_OK)
    bl_handover_clear (out);
  json_decref (json);
  return err;
}
