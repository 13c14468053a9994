/* wire-2.h -- what both stand-ins of this review share: time, addresses,
   small HTTP calls and the record of events

   Packets are read and written by standin/segment.c.  */

#ifndef REVIEW_WIRE_2_H
#define REVIEW_WIRE_2_H

#include "standin/segment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static inline uint64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static inline uint64_t
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

/* Parses "IP:PORT"; ends the process at any other text.  */
static inline struct sockaddr_in
parse_addr (const char *text)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  const char *colon = text != NULL ? strchr (text, ':') : NULL;
  char ip[32] = "";

  if (colon != NULL && colon - text < (long)sizeof ip)
    memcpy (ip, text, (size_t)(colon - text));
  if (inet_pton (AF_INET, ip, &a.sin_addr) != 1)
    {
      fprintf (stderr, "not an address: %s\n", text != NULL ? text : "-");
      exit (2);
    }
  a.sin_port = htons ((uint16_t)atoi (colon + 1));
  return a;
}

static inline int
open_socket (int type, struct sockaddr_in addr)
{
  int fd = socket (AF_INET, type, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      perror ("bind");
      exit (1);
    }
  return fd;
}

/* Calls METHOD PATH at ADDR with BODY.  Returns the status of the answer, or 0
   if there is none within TIMEOUT_MS.  */
static inline int
http_call (struct sockaddr_in addr,
           const char *method,
           const char *path,
           const char *body,
           int timeout_ms)
{
  struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char text[2048];
  int status = 0;
  ssize_t n;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  n = snprintf (text, sizeof text,
                "%s %s HTTP/1.1\r\nHost: node\r\nContent-Type: "
                "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                method, path, strlen (body), body);
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) == 0
      && send (fd, text, (size_t)n, MSG_NOSIGNAL) == n
      && (n = recv (fd, text, sizeof text - 1, 0)) > 0)
    {
      text[n] = '\0';
      if (sscanf (text, "HTTP/1.1 %d", &status) != 1)
        status = 0;
    }
  close (fd);
  return status;
}

#endif
