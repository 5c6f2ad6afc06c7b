/** @file
 * berylctl: the operators' command-line tool.
 */
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define DEFAULT_PLATFORM "127.0.0.1:7700"
#define DEFAULT_TIMEOUT_MS 15000

/* Entry of the command table. */
struct command
{
  const char *name;
  int min_args;
  int max_args; /* -1: any number */
  ctl_command *run;
  const char *args;
  const char *help;
};

/* Sorted by name for bsearch(). */
static const struct command commands[] = {
  { "apply", 1, -1, command_apply, "FILE...",
    "write objects and wait until they are in force" },
  { "delete", 2, 2, command_delete, "KIND NAME", "delete an object" },
  { "describe", 2, 2, command_describe, "KIND NAME",
    "show an object with its status" },
  { "diff", 1, -1, command_diff, "FILE...", "show what apply would change" },
  { "drain", 1, 1, command_drain, "ENDPOINT", "give an endpoint no new work" },
  { "explain", 1, 1, command_explain, "REQUEST",
    "show how a request was routed" },
  { "get", 1, 2, command_get, "KIND [NAME]", "show objects" },
  { "status", 0, 0, command_status, "",
    "show where configurations are in force" },
  { "top", 0, 0, command_top, "", "show what the entry nodes do" },
  { "validate", 1, -1, command_validate, "FILE...", "check files" },
  { "watch", 1, 1, command_watch, "KIND", "show changes as they come" },
};

static const struct option options[] = {
  { "entry", required_argument, NULL, 'e' },
  { "force", no_argument, NULL, 'f' },
  { "help", no_argument, NULL, 'h' },
  { "log", required_argument, NULL, 'l' },
  { "output", required_argument, NULL, 'o' },
  { "platform", required_argument, NULL, 'p' },
  { "timeout", required_argument, NULL, 't' },
  { "version", no_argument, NULL, 'v' },
  { "whole", no_argument, NULL, 'w' },
  { 0 },
};

static void
print_usage (FILE *out)
{
  fputs ("Usage: berylctl [OPTION]... COMMAND [ARGUMENT]...\n\n", out);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-9s %-12s %s\n", commands[i].name, commands[i].args,
             commands[i].help);
  fputs (
      "\n  -o, --output table|json|yaml\n"
      "  -p, --platform IP:PORT  the object API (or $BERYL_PLATFORM)\n"
      "  -e, --entry IP:PORT     an entry node, for explain and top\n"
      "  -l, --log FILE          explain from a gateway's log (- is stdin)\n"
      "  -t, --timeout SECONDS   for waiting [15]\n"
      "  -f, --force             overwrite without a version\n"
      "  -w, --whole             the files are the whole configuration\n"
      "  -h, --help\n  -v, --version\n",
      out);
}

static int
compare_command (const void *name, const void *command)
{
  return strcmp (name, ((const struct command *)command)->name);
}

static bool
parse_address (const char *text, char *address, size_t address_bytes,
               uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  char *end;
  guint64 n;

  if (colon == NULL || (size_t)(colon - text) >= address_bytes)
    return false;
  n = g_ascii_strtoull (colon + 1, &end, 10);
  if (end == colon + 1 || *end != '\0' || n == 0 || n > 65535)
    return false;
  g_strlcpy (address, text, (gsize)(colon - text) + 1);
  *port = (uint16_t)n;
  return true;
}

static bool
parse_format (const char *text, enum ctl_format *format)
{
  static const char *const names[] = { "table", "json", "yaml" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], text) == 0)
      {
        *format = (enum ctl_format)i;
        return true;
      }
  return false;
}

static bool
parse_timeout (const char *text, int64_t *timeout_ms)
{
  char *end;
  double seconds = g_ascii_strtod (text, &end);

  if (end == text || *end != '\0' || seconds < 0 || seconds > 3600)
    return false;
  *timeout_ms = (int64_t)(seconds * 1000);
  return true;
}

static bool
apply_option (struct ctl *ctl, int option)
{
  switch (option)
    {
    case 'e':
      return parse_address (optarg, ctl->entry_address,
                            sizeof ctl->entry_address, &ctl->entry_port);
    case 'f':
      ctl->force = true;
      return true;
    case 'l':
      ctl->log = optarg;
      return true;
    case 'o':
      return parse_format (optarg, &ctl->format);
    case 'p':
      return parse_address (optarg, ctl->platform_address,
                            sizeof ctl->platform_address, &ctl->platform_port);
    case 't':
      return parse_timeout (optarg, &ctl->timeout_ms);
    case 'w':
      ctl->whole = true;
      return true;
    default:
      return false;
    }
}

static enum ctl_exit
run (struct ctl *ctl, int argc, char **argv)
{
  const struct command *command = NULL;
  enum ctl_exit code;

  if (argc > 0)
    command = bsearch (argv[0], commands, G_N_ELEMENTS (commands),
                       sizeof *commands, compare_command);
  if (command == NULL || argc - 1 < command->min_args
      || (command->max_args >= 0 && argc - 1 > command->max_args))
    {
      print_usage (stderr);
      return CTL_USAGE;
    }
  code = command->run (ctl, argc - 1, argv + 1);
  ctl_disconnect (ctl);
  return code;
}

int
main (int argc, char **argv)
{
  struct ctl ctl = { .timeout_ms = DEFAULT_TIMEOUT_MS };
  const char *place = g_getenv ("BERYL_PLATFORM");
  int option;

  log_init ("berylctl", LOG_FORMAT_TEXT, "error");
  ctl.token = g_getenv ("BERYL_TOKEN");
  parse_address (place != NULL ? place : DEFAULT_PLATFORM,
                 ctl.platform_address, sizeof ctl.platform_address,
                 &ctl.platform_port);
  while ((option = getopt_long (argc, argv, "e:fhl:o:p:t:vw", options, NULL))
         != -1)
    {
      if (option == 'h')
        {
          print_usage (stdout);
          return CTL_OK;
        }
      if (option == 'v')
        {
          puts ("berylctl " BERYL_VERSION);
          return CTL_OK;
        }
      if (!apply_option (&ctl, option))
        {
          print_usage (stderr);
          return CTL_USAGE;
        }
    }
  return run (&ctl, argc - optind, argv + optind);
}
