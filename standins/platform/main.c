/** @file
 * standin-platform: a small fake of the platform's object API and instance
 * list, for tests and benches.
 */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "server.h"

static void
usage (FILE *out)
{
  fputs ("usage: standin-platform [--address IP] [--port N]\n"
         "Prints \"listening IP PORT\" once it serves.\n",
         out);
}

/** Read a port; false if TEXT is none. */
static bool
port_parse (const char *text, uint16_t *port)
{
  char *end;
  unsigned long number = strtoul (text, &end, 10);

  *port = (uint16_t)number;
  return *text != '\0' && *end == '\0' && number <= UINT16_MAX;
}

static int
serve (const char *address, uint16_t port)
{
  struct loop *loop = loop_create ();
  struct http_context *http = http_context_create (loop, NULL);
  struct beryl_error error = { 0 };
  struct platform *platform
      = platform_create (loop, http, address, port, &error);

  if (!platform)
    {
      fprintf (stderr, "standin-platform: %s\n", error.message);
      return EXIT_FAILURE;
    }
  printf ("listening %s %u\n", address, platform_port (platform));
  fflush (stdout);
  loop_run (loop);
  http_context_destroy (http);
  platform_destroy (platform);
  loop_destroy (loop);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static const struct option options[]
      = { { "address", required_argument, NULL, 'a' },
          { "port", required_argument, NULL, 'p' },
          { "help", no_argument, NULL, 'h' },
          { 0 } };
  const char *address = "127.0.0.1";
  uint16_t port = 0;
  int option;

  while ((option = getopt_long (argc, argv, "a:p:h", options, NULL)) != -1)
    {
      if (option == 'a')
        address = optarg;
      else if (option == 'h')
        {
          usage (stdout);
          return EXIT_SUCCESS;
        }
      else if (option != 'p' || !port_parse (optarg, &port))
        {
          usage (stderr);
          return EXIT_FAILURE;
        }
    }
  return serve (address, port);
}
