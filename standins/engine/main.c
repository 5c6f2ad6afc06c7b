/** @file
 * standin-engine: a fake of a model engine, for tests and benches.
 */
#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "server.h"

static void
usage (FILE *out)
{
  fputs ("usage: standin-engine [--address IP] [--port N] [--model NAME]\n"
         "  [--version NAME] [--role prefill|decode|both|none] [--slots N]\n"
         "  [--checks-fence] [--kv-ttl-ms N] [--load-lag-ms N]\n"
         "  [--event-lag-ms N] [--event-loss-per-mille N]\n"
         "  [--link-bytes-per-s N] [--kv-bytes-per-token N]\n"
         "  [--prefill-base-us N] [--prefill-token-us N]\n"
         "  [--step-base-us N] [--step-stream-us N] [--block-tokens N]\n"
         "  [--cache-blocks N] [--prefill-queue N] [--weights-ms N]\n"
         "  [--resume-ttl-ms N]\n"
         "Prints \"listening IP PORT\" once it serves.\n",
         out);
}

enum option_type
{
  OPTION_U16,
  OPTION_U32,
  OPTION_U64,
  OPTION_I64,
};

/* Options that take a number, and where it goes. */
static const struct number_option
{
  const char *name;
  enum option_type type;
  size_t offset;
} numbers[] = {
#define NUMBER(name, type, field)                                             \
  {                                                                           \
    name, type, offsetof (struct engine_server_settings, field)               \
  }
  NUMBER ("block-tokens", OPTION_U32, engine.block_tokens),
  NUMBER ("cache-blocks", OPTION_U32, engine.cache_blocks),
  NUMBER ("event-lag-ms", OPTION_I64, event_lag_ms),
  NUMBER ("event-loss-per-mille", OPTION_U32, event_loss_per_mille),
  NUMBER ("kv-bytes-per-token", OPTION_U32, engine.kv_bytes_per_token),
  NUMBER ("kv-ttl-ms", OPTION_I64, engine.kv_ttl_ms),
  NUMBER ("link-bytes-per-s", OPTION_U64, engine.link_bytes_per_s),
  NUMBER ("load-lag-ms", OPTION_I64, load_lag_ms),
  NUMBER ("port", OPTION_U16, port),
  NUMBER ("prefill-base-us", OPTION_U32, engine.prefill_base_us),
  NUMBER ("prefill-queue", OPTION_U32, engine.prefill_queue_max),
  NUMBER ("prefill-token-us", OPTION_U32, engine.prefill_token_us),
  NUMBER ("resume-ttl-ms", OPTION_I64, engine.resume_ttl_ms),
  NUMBER ("slots", OPTION_U32, engine.slots),
  NUMBER ("step-base-us", OPTION_U32, engine.step_base_us),
  NUMBER ("step-stream-us", OPTION_U32, engine.step_stream_us),
  NUMBER ("weights-ms", OPTION_I64, weights_ms),
#undef NUMBER
};

static bool
set_number (struct engine_server_settings *s, const struct number_option *o,
            const char *text)
{
  char *end;
  unsigned long long n = strtoull (text, &end, 10);
  char *field = (char *)s + o->offset;

  if (*text == '\0' || *end != '\0')
    return false;
  if (o->type == OPTION_U16)
    *(uint16_t *)(void *)field = (uint16_t)n;
  else if (o->type == OPTION_U32)
    *(uint32_t *)(void *)field = (uint32_t)n;
  else if (o->type == OPTION_U64)
    *(uint64_t *)(void *)field = n;
  else
    *(int64_t *)(void *)field = (int64_t)n;
  return true;
}

static bool
set_role (struct engine_server_settings *s, const char *name)
{
  static const char *const names[] = { "none", "prefill", "decode", "both" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], name) == 0)
      {
        s->role = (enum beryl_role)i;
        return true;
      }
  return false;
}

static bool
set_text (struct engine_server_settings *s, const char *name, char *value)
{
  if (strcmp (name, "address") == 0)
    s->address = value;
  else if (strcmp (name, "model") == 0)
    g_strlcpy (s->model, value, sizeof s->model);
  else if (strcmp (name, "version") == 0)
    g_strlcpy (s->version, value, sizeof s->version);
  else if (strcmp (name, "role") == 0)
    return set_role (s, value);
  else if (strcmp (name, "checks-fence") == 0)
    s->checks_fence = true;
  return true;
}

#define TEXT_OPTIONS 6

static bool
parse (int argc, char **argv, struct engine_server_settings *s)
{
  struct option options[TEXT_OPTIONS + G_N_ELEMENTS (numbers) + 1]
      = { { "address", required_argument, NULL, 0 },
          { "model", required_argument, NULL, 0 },
          { "version", required_argument, NULL, 0 },
          { "role", required_argument, NULL, 0 },
          { "checks-fence", no_argument, NULL, 0 },
          { "help", no_argument, NULL, 'h' } };
  int at;
  int found;

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    options[TEXT_OPTIONS + i]
        = (struct option){ numbers[i].name, required_argument, NULL, 0 };
  while ((found = getopt_long (argc, argv, "h", options, &at)) != -1)
    {
      if (found == 'h')
        {
          usage (stdout);
          exit (EXIT_SUCCESS);
        }
      if (found != 0)
        return false;
      bool ok = at < TEXT_OPTIONS
                    ? set_text (s, options[at].name, optarg)
                    : set_number (s, &numbers[at - TEXT_OPTIONS], optarg);
      if (!ok)
        return false;
    }
  return optind == argc;
}

int
main (int argc, char **argv)
{
  struct engine_server_settings settings;
  struct beryl_error error = { 0 };

  engine_server_defaults (&settings);
  if (!parse (argc, argv, &settings))
    {
      usage (stderr);
      return EXIT_FAILURE;
    }
  struct loop *loop = loop_create ();
  struct http_context *http = http_context_create (loop, NULL);
  struct engine_server *server
      = engine_server_create (loop, http, &settings, &error);

  if (server == NULL)
    {
      fprintf (stderr, "standin-engine: %s\n", error.message);
      return EXIT_FAILURE;
    }
  printf ("listening %s %u\n", settings.address, engine_server_port (server));
  fflush (stdout);
  loop_run (loop);
  http_context_destroy (http);
  engine_server_destroy (server);
  loop_destroy (loop);
  return EXIT_SUCCESS;
}
