#include "operation.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/** Longest time that a watch may wait. */
#define WAIT_MAX_MS 60000
/** Most events in one answer of a watch. */
#define EVENTS_PER_ANSWER 500
#define INSTANCE_KIND "instance"

static const char *const type_names[OPERATION_TYPE_COUNT]
    = { "get",   "list",      "put",          "delete",
        "watch", "instances", "instance_put", "instance_delete" };

const char *
operation_type_name (enum operation_type type)
{
  return type_names[type];
}

bool
operation_type_writes (enum operation_type type)
{
  return type == OPERATION_PUT || type == OPERATION_DELETE;
}

/** Copy argument NAME out of QUERY; "" if absent.  The interface's names
 * need no escapes. */
static void
argument_text (const char *query, const char *name, char *value,
               size_t value_bytes)
{
  char **parts = g_strsplit (query, "&", 16);
  size_t length = strlen (name);

  value[0] = '\0';
  for (char **part = parts; *part; part++)
    if (strncmp (*part, name, length) == 0 && (*part)[length] == '=')
      g_strlcpy (value, *part + length + 1, value_bytes);
  g_strfreev (parts);
}

static uint64_t
argument_number (const char *query, const char *name, uint64_t fallback)
{
  char text[32];

  argument_text (query, name, text, sizeof text);
  return text[0] ? strtoull (text, NULL, 10) : fallback;
}

/** Read the conditions of a write. */
static void
condition_parse (const char *if_match, bool if_none_match,
                 struct operation *op)
{
  if (if_match)
    {
      op->condition = STORE_IF_VERSION;
      op->version = strtoull (if_match, NULL, 10);
    }
  else if (if_none_match)
    op->condition = STORE_IF_ABSENT;
}

/** Choose the type by method; false if METHOD is not one of ours. */
static bool
type_of_method (const char *method, enum operation_type get,
                enum operation_type put, enum operation_type delete,
                enum operation_type *type)
{
  if (strcmp (method, "GET") == 0)
    *type = get;
  else if (strcmp (method, "PUT") == 0)
    *type = put;
  else if (strcmp (method, "DELETE") == 0)
    *type = delete;
  else
    return false;
  return true;
}

/** Read the path into OP; false if it is none of the interface. */
static bool
path_parse (const char *method, const char *path, struct operation *op)
{
  char **parts = g_strsplit (path, "/", 6);
  guint n = g_strv_length (parts);
  bool ok = false;
  bool get = strcmp (method, "GET") == 0;

  if (n >= 3 && strcmp (parts[1], "v1") == 0)
    {
      if (n >= 4)
        g_strlcpy (op->kind, parts[3], sizeof op->kind);
      if (n >= 5)
        g_strlcpy (op->name, parts[4], sizeof op->name);
      if (n == 5 && strcmp (parts[2], "objects") == 0)
        ok = type_of_method (method, OPERATION_GET, OPERATION_PUT,
                             OPERATION_DELETE, &op->type);
      else if (n == 4 && get && strcmp (parts[2], "objects") == 0)
        {
          op->type = OPERATION_LIST;
          ok = true;
        }
      else if (n == 4 && get && strcmp (parts[2], "watch") == 0)
        {
          op->type = OPERATION_WATCH;
          ok = true;
        }
      else if (n == 3 && get && strcmp (parts[2], "instances") == 0)
        {
          op->type = OPERATION_INSTANCES;
          ok = true;
        }
      else if (n == 4 && !get && strcmp (parts[2], "instances") == 0)
        {
          g_strlcpy (op->name, parts[3], sizeof op->name);
          ok = type_of_method (method, OPERATION_INSTANCES,
                               OPERATION_INSTANCE_PUT,
                               OPERATION_INSTANCE_DELETE, &op->type);
        }
    }
  g_strfreev (parts);
  return ok;
}

struct operation *
operation_create (const char *method, const char *path, const char *if_match,
                  bool if_none_match, const char *body, size_t body_bytes)
{
  struct operation *op = g_new0 (struct operation, 1);
  char **halves = g_strsplit (path, "?", 2);
  const char *query = halves[0] && halves[1] ? halves[1] : "";
  bool ok = path_parse (method, halves[0] ? halves[0] : "", op);

  argument_text (query, "prefix", op->prefix, sizeof op->prefix);
  argument_text (query, "after", op->after_name, sizeof op->after_name);
  op->after = argument_number (query, "after", 0);
  op->wait_ms
      = (int64_t)MIN (argument_number (query, "wait_ms", 0), WAIT_MAX_MS);
  op->limit = (uint32_t)CLAMP (
      argument_number (query, "limit", STORE_LIST_MAX), 1, STORE_LIST_MAX);
  condition_parse (if_match, if_none_match, op);
  op->body = g_strndup (body ? body : "", body_bytes);
  op->body_bytes = body_bytes;
  g_strfreev (halves);
  if (ok)
    return op;
  operation_destroy (op);
  return NULL;
}

void
operation_destroy (struct operation *op)
{
  if (!op)
    return;
  g_free (op->body);
  g_free (op);
}

/** Set the answer to JSON, whose reference is taken. */
static void
answer_json (struct answer *answer, unsigned int status, json_t *json)
{
  answer->status = status;
  answer->body = json_dumps (json, JSON_COMPACT);
  json_decref (json);
}

static void
answer_error (struct answer *answer, unsigned int status, const char *error)
{
  answer_json (answer, status, json_pack ("{s:s}", "error", error));
}

static json_t *
object_json (const struct store_revision *r)
{
  json_t *json = json_pack ("{s:s,s:s,s:I}", "kind", r->kind, "name", r->name,
                            "version", (json_int_t)r->version);
  json_t *value;

  if (!r->value)
    return json;
  value = json_loadb (r->value, r->value_bytes, JSON_DECODE_ANY, NULL);
  json_object_set_new (json, "value", value ? value : json_null ());
  return json;
}

static void
answer_status (struct answer *answer, enum store_status status,
               uint64_t version)
{
  switch (status)
    {
    case STORE_OK:
      answer_json (answer, 200,
                   json_pack ("{s:I}", "version", (json_int_t)version));
      break;
    case STORE_CONFLICT:
      answer_json (answer, 412,
                   json_pack ("{s:I}", "version", (json_int_t)version));
      break;
    case STORE_ABSENT:
      answer_error (answer, 404, "absent");
      break;
    case STORE_TOO_LARGE:
      answer_error (answer, 413, "value too large");
      break;
    case STORE_COMPACTED:
      answer_error (answer, 410, "too old");
      break;
    case STORE_INVALID:
      answer_error (answer, 400, "malformed kind or name");
      break;
    }
}

static void
run_get (const struct operation *op, struct store *store, int64_t read_ms,
         struct answer *answer)
{
  struct store_revision r;
  enum store_status status
      = store_get (store, op->kind, op->name, read_ms, &r);

  if (status == STORE_OK)
    answer_json (answer, 200, object_json (&r));
  else
    answer_status (answer, status, 0);
}

/** A page being filled. */
struct page
{
  json_t *items;
  uint32_t limit;
  uint64_t last;
  bool more;
};

static bool
page_object (void *user, const struct store_revision *r)
{
  struct page *page = user;

  page->more = json_array_size (page->items) == page->limit;
  if (!page->more)
    json_array_append_new (page->items, object_json (r));
  return !page->more;
}

static void
run_list (const struct operation *op, struct store *store, int64_t read_ms,
          struct answer *answer)
{
  struct page page = { .items = json_array (), .limit = op->limit };

  store_list (store, op->kind, op->prefix, op->after_name, read_ms,
              page_object, &page);
  answer_json (answer, 200,
               json_pack ("{s:I,s:o,s:b}", "revision",
                          (json_int_t)store_revision_at (store, read_ms),
                          "items", page.items, "more", page.more));
}

/** Whether BODY is a JSON text. */
static bool
body_is_json (const struct operation *op)
{
  json_t *json = json_loadb (op->body, op->body_bytes, JSON_DECODE_ANY, NULL);
  bool ok = json != NULL;

  json_decref (json);
  return ok;
}

static void
run_put (const struct operation *op, struct store *store, const char *kind,
         int64_t now_ms, struct answer *answer)
{
  uint64_t version = op->version;
  enum store_status status;

  if (!body_is_json (op))
    {
      answer_error (answer, 400, "the value is not JSON");
      return;
    }
  status = store_put (store, kind, op->name, op->condition, &version, op->body,
                      op->body_bytes, now_ms);
  answer_status (answer, status, version);
}

static void
run_delete (const struct operation *op, struct store *store, const char *kind,
            int64_t now_ms, struct answer *answer)
{
  uint64_t version = op->version;
  enum store_status status
      = store_delete (store, kind, op->name, op->condition, &version, now_ms);

  answer_status (answer, status, version);
}

static bool
page_event (void *user, const struct store_revision *r)
{
  struct page *page = user;
  json_t *json = object_json (r);

  json_object_set_new (json, "type",
                       json_string (r->deleted ? "delete" : "put"));
  json_array_append_new (page->items, json);
  page->last = r->version;
  page->more = json_array_size (page->items) == page->limit;
  return !page->more;
}

static bool
run_watch (const struct operation *op, struct store *store, int64_t now_ms,
           struct answer *answer)
{
  struct page page = { .items = json_array (), .limit = EVENTS_PER_ANSWER };
  uint64_t revision = store_revision_at (store, now_ms);

  if (store_events (store, op->kind, op->after, page_event, &page)
      == STORE_COMPACTED)
    {
      json_decref (page.items);
      answer_status (answer, STORE_COMPACTED, 0);
      return true;
    }
  if (json_array_size (page.items) == 0)
    {
      json_decref (page.items);
      return false;
    }
  answer_json (answer, 200,
               json_pack ("{s:I,s:o}", "revision",
                          (json_int_t)(page.more ? page.last : revision),
                          "events", page.items));
  return true;
}

static bool
page_instance (void *user, const struct store_revision *r)
{
  struct page *page = user;
  json_t *json = json_loadb (r->value, r->value_bytes, 0, NULL);

  if (!json)
    json = json_object ();
  json_object_set_new (json, "name", json_string (r->name));
  json_array_append_new (page->items, json);
  return true;
}

static bool
run_instances (const struct operation *op, struct store *store, int64_t at_ms,
               struct answer *answer)
{
  struct page page = { .items = NULL };
  uint64_t revision = store_revision_at (store, at_ms);

  if (revision <= op->after && op->wait_ms > 0)
    return false;
  page.items = json_array ();
  store_list (store, INSTANCE_KIND, "", "", at_ms, page_instance, &page);
  answer_json (answer, 200,
               json_pack ("{s:I,s:o}", "revision", (json_int_t)revision,
                          "items", page.items));
  return true;
}

bool
operation_run (const struct operation *op, struct store *objects,
               struct store *instances, int64_t now_ms, int64_t read_ms,
               int64_t instances_ms, struct answer *answer)
{
  switch (op->type)
    {
    case OPERATION_GET:
      run_get (op, objects, read_ms, answer);
      return true;
    case OPERATION_LIST:
      run_list (op, objects, read_ms, answer);
      return true;
    case OPERATION_WATCH:
      return run_watch (op, objects, now_ms, answer);
    case OPERATION_INSTANCES:
      return run_instances (op, instances, instances_ms, answer);
    case OPERATION_PUT:
      run_put (op, objects, op->kind, now_ms, answer);
      return true;
    case OPERATION_DELETE:
      run_delete (op, objects, op->kind, now_ms, answer);
      return true;
    case OPERATION_INSTANCE_PUT:
      run_put (op, instances, INSTANCE_KIND, now_ms, answer);
      return true;
    default:
      run_delete (op, instances, INSTANCE_KIND, now_ms, answer);
      return true;
    }
}
