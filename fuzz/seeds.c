/* seeds.c -- writes the seeds of the binary formats into fuzz/corpus, encoded
   by the project's own functions

   seeds DIR  */

#include "core/link.h"
#include "core/msg.h"

#include <stdio.h>
#include <string.h>

static int
write_seed (const char *dir, const char *name, const void *bytes, size_t len)
{
  char path[512];
  FILE *file;
  bool written;

  snprintf (path, sizeof path, "%s/%s", dir, name);
  file = fopen (path, "wb");
  if (file == NULL)
    {
      perror (path);
      return 1;
    }
  written = fwrite (bytes, 1, len, file) == len;
  return fclose (file) == 0 && written ? 0 : 1;
}

/* Writes a message of TYPE with one record and one service.  */
static int
write_message (const char *dir, enum bl_msg_type type)
{
  struct bl_record record
      = { .kind = BL_KIND_BACKEND, .ip = 9, .data_port = 7, .incarnation = 5 };
  struct bl_str service = bl_str_of ("{\"name\":\"s\"}");
  struct bl_msg msg = {
    .type = type,
    .seq = 3,
    .incarnation = 5,
    .record_count = 1,
    .records = &record,
    .service_count = 1,
    .services = &service,
  };
  struct bl_buffer buffer = { .len = 0 };
  char name[64];
  int status;

  bl_name_set (&msg.from, bl_str_of ("b1"));
  bl_name_set (&record.id, bl_str_of ("w1"));
  bl_name_set (&record.dc, bl_str_of ("dc1"));
  bl_name_set (&record.service, bl_str_of ("s"));
  snprintf (name, sizeof name, "message/type-%d", (int)type);
  status = bl_msg_encode (&msg, &buffer) == BL_OK
               ? write_seed (dir, name, buffer.ptr, buffer.len)
               : 1;
  bl_buffer_free (&buffer);
  return status;
}

static int
write_link (const char *dir, enum bl_link_type type)
{
  struct bl_link_msg link
      = { .type = type, .key = { 1, 2, 3, 443 }, .incarnation = 5 };
  uint8_t buf[BL_LINK_MAX];
  char name[64];

  snprintf (name, sizeof name, "packet/link-%d", (int)type);
  return write_seed (dir, name, buf, bl_link_encode (&link, buf));
}

int
main (int argc, char **argv)
{
  int status = 0;

  if (argc != 2)
    return 2;
  for (int type = BL_MSG_PING; type < BL_MSG_TYPE_END; type++)
    status |= write_message (argv[1], (enum bl_msg_type)type);
  for (int type = BL_LINK_PACKET; type < BL_LINK_TYPE_END; type++)
    status |= write_link (argv[1], (enum bl_link_type)type);
  return status;
}
