#include "beryl/config_log.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/config.h"
#include "beryl/findings.h"
#include "../base/guard_control.h"
#include "object_table.h"

/* Maximum size of the objects in an entry of more than one; the platform
 * limits values to 1 MB. */
#define ENTRY_BYTES (512U * 1024U)
#define FINDINGS_BYTES 2000
#define KIND_COUNT 7
/* Position of instance states after those of kind_order, also in synced.  They
 * are distributed through the same log as the configuration but are not part
 * of it. */
#define INSTANCE_ORDER KIND_COUNT

/* Puts are applied in this order and deletions in the reverse one, so that an
 * entry never refers to an object that only a later entry creates. */
static const enum beryl_kind kind_order[KIND_COUNT]
    = { BERYL_KIND_SYSTEM,  BERYL_KIND_ORGANISATION, BERYL_KIND_MODEL,
        BERYL_KIND_SERVICE, BERYL_KIND_URGENCY,      BERYL_KIND_POOL,
        BERYL_KIND_ENDPOINT };

/* A difference between the observed and the accepted objects. */
struct change
{
  const char *kind;
  const char *name;
  uint64_t version; /* 0: deletion */
  const char *json; /* NULL: deletion */
  int order;        /* position in the entry; deletions follow all puts */
  enum
  {
    CHANGE_PENDING,
    CHANGE_ACCEPTED,
    CHANGE_REJECTED,
  } state;
};

struct beryl_acceptor
{
  const struct beryl_config_log *log;
  struct beryl_acceptor_owner *owner;
  struct object_table observed;
  struct object_table rejected;    /* versions and findings already reported */
  uint64_t synced[KIND_COUNT + 1]; /* revisions read; 0: not yet */
  uint64_t evaluated_version;      /* log version at the last evaluation */
  bool evaluated; /* nothing to do until new input or a new log version */
  struct change *changes;
  size_t change_count;
};

struct beryl_acceptor *
beryl_acceptor_create (const struct beryl_config_log *log,
                       struct beryl_acceptor_owner *owner)
{
  struct beryl_acceptor *a = calloc (1, sizeof *a);

  if (a == NULL)
    return NULL;
  a->log = log;
  a->owner = owner;
  return a;
}

void
beryl_acceptor_destroy (struct beryl_acceptor *a)
{
  if (a == NULL)
    return;
  object_table_clear (&a->observed);
  object_table_clear (&a->rejected);
  free (a->changes);
  free (a);
}

static int
kind_index (const char *kind)
{
  for (int i = 0; i < KIND_COUNT; i++)
    if (strcmp (beryl_kind_name (kind_order[i]), kind) == 0)
      return i;
  return strcmp (kind, BERYL_INSTANCE_KIND) == 0 ? INSTANCE_ORDER : -1;
}

/* Returns the object without its nonce, which only serves the write itself. */
static char *
object_text (const char *json, size_t json_bytes)
{
  json_t *object = json_loadb (json, json_bytes, 0, NULL);
  char *text;

  if (object == NULL)
    return strndup (json, json_bytes);
  json_object_del (object, "nonce");
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

void
beryl_acceptor_observe (struct beryl_acceptor *a, const char *kind,
                        const char *name, uint64_t version, const char *json,
                        size_t json_bytes)
{
  char *text;

  if (kind_index (kind) < 0)
    return;
  a->evaluated = false;
  if (json == NULL)
    {
      object_table_remove (&a->observed, kind, name);
      return;
    }
  text = object_text (json, json_bytes);
  if (text != NULL)
    object_table_put (&a->observed, kind, name, version, text, strlen (text));
  free (text);
}

void
beryl_acceptor_synced (struct beryl_acceptor *a, const char *kind,
                       uint64_t revision)
{
  int i = kind_index (kind);

  if (i < 0 || revision <= a->synced[i])
    return;
  if (a->synced[i] == 0)
    a->evaluated = false;
  a->synced[i] = revision;
}

/* Returns whether this acceptor has read at least as far as the one that made
 * the last entry.  An acceptor that started from a lagging replica sees an
 * outdated state, in which an object accepted since then looks deleted; making
 * that deletion would take a service away from its callers. */
static bool
acceptor_is_current (const struct beryl_acceptor *a)
{
  for (int i = 0; i < KIND_COUNT; i++)
    {
      const char *kind = beryl_kind_name (kind_order[i]);

      if (a->synced[i] == 0
          || !BERYL_GUARD (BERYL_GUARD_ACCEPT_CURRENT,
                           a->synced[i]
                               >= beryl_config_log_revision (a->log, kind)))
        return false;
    }
  return true;
}

static int
compare_changes (const void *a, const void *b)
{
  const struct change *x = a;
  const struct change *y = b;

  if (x->order != y->order)
    return x->order - y->order;
  return strcmp (x->name, y->name);
}

static void
change_add (struct beryl_acceptor *a, const struct stored_object *item)
{
  struct beryl_config_log_object accepted;
  int order = kind_index (item->kind);

  if (beryl_config_log_find (a->log, item->kind, item->name, &accepted)
      && !BERYL_GUARD (BERYL_GUARD_ACCEPT_SOURCE,
                       item->version > accepted.source_version))
    return;
  a->changes[a->change_count++]
      = (struct change){ item->kind, item->name, item->version,
                         item->text, order,      CHANGE_PENDING };
}

static void
deletion_add (struct beryl_acceptor *a,
              const struct beryl_config_log_object *accepted)
{
  int order = kind_index (accepted->kind);
  bool found;

  object_table_find (&a->observed, accepted->kind, accepted->name, &found);
  if (found || order < 0 || a->synced[order] == 0)
    return;
  /* After all puts, in the reverse order of kinds. */
  a->changes[a->change_count++] = (struct change){
    accepted->kind, accepted->name, 0, NULL, 2 * INSTANCE_ORDER - order + 1,
    CHANGE_PENDING
  };
}

static bool
changes_collect (struct beryl_acceptor *a)
{
  size_t accepted_count = beryl_config_log_count (a->log);

  free (a->changes);
  a->change_count = 0;
  a->changes
      = calloc (a->observed.count + accepted_count + 1, sizeof *a->changes);
  if (a->changes == NULL)
    return false;
  for (size_t i = 0; i < a->observed.count; i++)
    change_add (a, &a->observed.list[i]);
  for (size_t i = 0; i < accepted_count; i++)
    {
      struct beryl_config_log_object object = beryl_config_log_get (a->log, i);

      deletion_add (a, &object);
    }
  qsort (a->changes, a->change_count, sizeof *a->changes, compare_changes);
  return a->change_count > 0;
}

static void
candidate_apply (struct object_table *candidate, const struct change *c)
{
  if (c->json == NULL)
    object_table_remove (candidate, c->kind, c->name);
  else
    object_table_put (candidate, c->kind, c->name, c->version, c->json,
                      strlen (c->json));
}

/* Returns whether the accepted objects with the changes accepted so far and
 * those of [FROM, TO) form a valid configuration. */
static bool
candidate_valid (const struct beryl_acceptor *a, size_t from, size_t to,
                 struct beryl_findings *findings)
{
  struct object_table candidate = { 0 };
  struct beryl_config *config = NULL;
  char *text;
  size_t bytes = 0;

  for (size_t i = 0; i < beryl_config_log_count (a->log); i++)
    {
      struct beryl_config_log_object o = beryl_config_log_get (a->log, i);

      if (strcmp (o.kind, BERYL_INSTANCE_KIND) != 0)
        object_table_put (&candidate, o.kind, o.name, o.source_version, o.json,
                          strlen (o.json));
    }
  for (size_t i = 0; i < a->change_count; i++)
    if (strcmp (a->changes[i].kind, BERYL_INSTANCE_KIND) != 0
        && (a->changes[i].state == CHANGE_ACCEPTED || (i >= from && i < to)))
      candidate_apply (&candidate, &a->changes[i]);
  text = object_table_format (&candidate, BERYL_INSTANCE_KIND, &bytes);
  if (text != NULL)
    config = beryl_config_parse (
        text, bytes, beryl_config_log_version (a->log) + 1, findings);
  free (text);
  object_table_clear (&candidate);
  beryl_config_destroy (config);
  return config != NULL;
}

static bool
names_match (const struct change *c, struct beryl_findings *findings)
{
  json_t *json;
  const char *kind;
  const char *name;
  bool match;

  if (c->json == NULL || c->order == INSTANCE_ORDER)
    return true;
  json = json_loads (c->json, JSON_REJECT_DUPLICATES, NULL);
  kind = json_string_value (json_object_get (json, "kind"));
  name = json_string_value (json_object_get (json, "name"));
  match = kind != NULL && name != NULL && strcmp (kind, c->kind) == 0
          && strcmp (name, c->name) == 0;
  json_decref (json);
  if (!match)
    beryl_findings_add (findings, c->name, 0, 0,
                        "kind and name differ from the object's own");
  return match;
}

static void
change_report (struct beryl_acceptor *a, const struct change *c, bool accepted,
               const char *findings)
{
  struct beryl_validation_result result
      = { c->kind, c->name, c->version, accepted, findings };

  a->owner->impl->validated (a->owner, &result);
}

/* Reports a rejection once.  An unchanged object is validated again after
 * every entry, as a change of another object may have made it valid. */
static void
change_reject (struct beryl_acceptor *a, struct change *c,
               const struct beryl_findings *findings)
{
  char *text = beryl_findings_format (findings);
  bool found;
  size_t i = object_table_find (&a->rejected, c->kind, c->name, &found);
  struct stored_object *known = found ? &a->rejected.list[i] : NULL;

  c->state = CHANGE_REJECTED;
  if (text == NULL)
    return;
  if (strlen (text) > FINDINGS_BYTES)
    text[FINDINGS_BYTES] = '\0';
  if (known == NULL || known->version != c->version
      || strcmp (known->text, text) != 0)
    {
      object_table_put (&a->rejected, c->kind, c->name, c->version, text,
                        strlen (text));
      change_report (a, c, false, text);
    }
  free (text);
}

/* Accepts the valid changes of [FROM, TO): all at once if possible, otherwise
 * by bisection, so that one bad object among thousands costs few checks. */
static void
changes_accept (struct beryl_acceptor *a, size_t from, size_t to)
{
  struct beryl_findings *findings = beryl_findings_create ();

  if (BERYL_GUARD (BERYL_GUARD_ACCEPT_VALID,
                   candidate_valid (a, from, to, findings)))
    {
      for (size_t i = from; i < to; i++)
        a->changes[i].state = CHANGE_ACCEPTED;
    }
  else if (to - from == 1)
    change_reject (a, &a->changes[from], findings);
  else
    {
      size_t middle = from + (to - from) / 2;

      changes_accept (a, from, middle);
      changes_accept (a, middle, to);
    }
  beryl_findings_destroy (findings);
}

/* Rejects objects that are invalid on their own before the configuration is
 * checked as a whole. */
static void
changes_check_objects (struct beryl_acceptor *a)
{
  size_t kept = 0;

  for (size_t i = 0; i < a->change_count; i++)
    {
      struct change *c = &a->changes[i];
      struct beryl_findings *findings = beryl_findings_create ();
      bool good = names_match (c, findings)
                  && (c->json == NULL || c->order == INSTANCE_ORDER
                      || beryl_config_check_object (c->json, strlen (c->json),
                                                    findings));

      if (good)
        a->changes[kept++] = *c;
      else
        change_reject (a, c, findings);
      beryl_findings_destroy (findings);
    }
  a->change_count = kept;
}

/* Limits the changes to what fits into one entry. */
static void
changes_limit (struct beryl_acceptor *a)
{
  size_t bytes = 0;
  size_t i;

  for (i = 0; i < a->change_count; i++)
    {
      const struct change *c = &a->changes[i];

      bytes += 2 * BERYL_NAME_BYTES + (c->json != NULL ? strlen (c->json) : 0);
      if (bytes > ENTRY_BYTES && i > 0)
        break;
    }
  a->change_count = i;
}

static size_t
changes_count_accepted (const struct beryl_acceptor *a)
{
  size_t count = 0;

  for (size_t i = 0; i < a->change_count; i++)
    count += a->changes[i].state == CHANGE_ACCEPTED;
  return count;
}

static void
entry_write_change (const struct change *c, bool first, FILE *out)
{
  fprintf (out, "%s{\"kind\":\"%s\",\"name\":\"%s\",\"source\":%" PRIu64,
           first ? "" : ",", c->kind, c->name, c->version);
  if (c->json != NULL)
    fprintf (out, ",\"object\":%s", c->json);
  fputc ('}', out);
}

/* Builds the entry of the accepted changes, reports them to the owner and
 * forgets their earlier rejections. */
static char *
entry_build (struct beryl_acceptor *a, size_t *byte_count)
{
  char *text = NULL;
  FILE *out = open_memstream (&text, byte_count);
  bool first = true;

  if (out == NULL)
    return NULL;
  fprintf (out, "{\"version\":%" PRIu64 ",\"revisions\":{",
           beryl_config_log_version (a->log) + 1);
  for (int i = 0; i < KIND_COUNT; i++)
    fprintf (out, "%s\"%s\":%" PRIu64, i > 0 ? "," : "",
             beryl_kind_name (kind_order[i]), a->synced[i]);
  fputs ("},\"changes\":[", out);
  for (size_t i = 0; i < a->change_count; i++)
    if (a->changes[i].state == CHANGE_ACCEPTED)
      {
        entry_write_change (&a->changes[i], first, out);
        object_table_remove (&a->rejected, a->changes[i].kind,
                             a->changes[i].name);
        change_report (a, &a->changes[i], true, "");
        first = false;
      }
  fputs ("]}", out);
  fclose (out);
  return text;
}

char *
beryl_acceptor_propose (struct beryl_acceptor *a, size_t *byte_count)
{
  uint64_t version = beryl_config_log_version (a->log);

  if (!acceptor_is_current (a)
      || (a->evaluated && a->evaluated_version == version))
    return NULL;
  a->evaluated = true;
  a->evaluated_version = version;
  if (!changes_collect (a))
    return NULL;
  changes_check_objects (a);
  changes_limit (a);
  if (a->change_count == 0)
    return NULL;
  changes_accept (a, 0, a->change_count);
  if (changes_count_accepted (a) == 0)
    return NULL;
  /* Another entry may win the race for this version; evaluate again. */
  a->evaluated = false;
  return entry_build (a, byte_count);
}
