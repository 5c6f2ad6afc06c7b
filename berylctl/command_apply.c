#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* One object to apply. */
struct change
{
  const char *kind;
  const char *name;
  json_t *object;           /* as in the file */
  json_t *current;          /* as stored, or NULL */
  uint64_t base_version;    /* version the file is based on; 0: none */
  uint64_t version;         /* version of CURRENT; 0: absent */
  uint64_t written_version; /* version after the write; 0: not written */
};

static json_t *
current_value (const struct change *change)
{
  return json_object_get (change->current, "value");
}

static bool
read_current (struct ctl *ctl, struct change *change,
              struct beryl_error *error)
{
  json_decref (change->current);
  change->version = 0;
  change->current = ctl_get (ctl, change->kind, change->name, error);
  if (change->current == NULL)
    return error->code == BERYL_ERROR_NOT_FOUND;
  change->version = (uint64_t)json_integer_value (
      json_object_get (change->current, "version"));
  return true;
}

static bool
is_unchanged (const struct change *change)
{
  return change->current != NULL
         && json_equal (json_object_get (change->object, "spec"),
                        json_object_get (current_value (change), "spec"));
}

/* Returns the specification that the file is based on, or NULL if it is no
 * longer stored. */
static const json_t *
base_spec (const struct change *change)
{
  const json_t *previous
      = json_object_get (current_value (change), "previous");

  if (change->base_version != 0
      && (uint64_t)json_integer_value (json_object_get (previous, "version"))
             == change->base_version)
    return json_object_get (previous, "spec");
  return NULL;
}

static enum ctl_exit
report_conflict (const struct change *change)
{
  if (change->base_version == 0)
    fprintf (stderr,
             "berylctl: %s %s exists and differs; take it with get -o yaml, "
             "edit that (it carries its version), or use --force\n",
             change->kind, change->name);
  else
    fprintf (stderr,
             "berylctl: %s %s was changed since version %llu; nothing was "
             "written\n",
             change->kind, change->name,
             (unsigned long long)change->base_version);
  printf ("%s %s:\n", change->kind, change->name);
  ctl_print_three_way (base_spec (change),
                       json_object_get (current_value (change), "spec"),
                       json_object_get (change->object, "spec"));
  return CTL_CONFLICT;
}

static bool
write_allowed (const struct ctl *ctl, const struct change *change)
{
  if (ctl->force)
    return true;
  return change->base_version == change->version;
}

/* The stored object includes the previous specification, so that a later
 * conflict can be shown as a three-way diff. */
static json_t *
value_to_write (const struct change *change)
{
  json_t *value = ctl_plain_object (change->object);

  if (change->current != NULL)
    json_object_set_new (
        value, "previous",
        json_pack ("{s:I, s:O}", "version", (json_int_t)change->version,
                   "spec", json_object_get (current_value (change), "spec")));
  return value;
}

static enum ctl_exit
write_change (struct ctl *ctl, struct change *change)
{
  struct beryl_error error = { 0 };
  json_t *value = value_to_write (change);

  change->written_version = ctl_put (ctl, change->kind, change->name, value,
                                     change->version, &error);
  json_decref (value);
  if (change->written_version != 0)
    {
      printf ("%s %s %s, version %llu\n", change->kind, change->name,
              change->version != 0 ? "changed" : "created",
              (unsigned long long)change->written_version);
      return CTL_OK;
    }
  if (error.code != BERYL_ERROR_CONFLICT)
    return ctl_report_error (&error);
  error = (struct beryl_error){ 0 };
  if (!read_current (ctl, change, &error))
    return ctl_report_error (&error);
  return report_conflict (change);
}

static enum ctl_exit
apply_change (struct ctl *ctl, struct change *change)
{
  struct beryl_error error = { 0 };

  if (!read_current (ctl, change, &error))
    return ctl_report_error (&error);
  if (is_unchanged (change))
    {
      printf ("%s %s unchanged\n", change->kind, change->name);
      return CTL_OK;
    }
  if (!write_allowed (ctl, change))
    return report_conflict (change);
  return write_change (ctl, change);
}

static void
change_init (struct change *change, json_t *object)
{
  memset (change, 0, sizeof *change);
  change->object = object;
  change->kind = json_string_value (json_object_get (object, "kind"));
  change->name = json_string_value (json_object_get (object, "name"));
  change->base_version
      = (uint64_t)json_integer_value (json_object_get (object, "version"));
}

/* Writes all objects before waiting, so that the waits overlap. */
static enum ctl_exit
apply_all (struct ctl *ctl, struct change *changes, size_t count)
{
  enum ctl_exit worst_code = CTL_OK;

  for (size_t i = 0; i < count; i++)
    {
      enum ctl_exit code = apply_change (ctl, &changes[i]);

      worst_code = code > worst_code ? code : worst_code;
    }
  for (size_t i = 0; i < count && ctl->timeout_ms > 0; i++)
    {
      enum ctl_exit code;

      if (changes[i].written_version == 0)
        continue;
      code = ctl_wait_in_force (ctl, changes[i].kind, changes[i].name,
                                changes[i].written_version);
      worst_code = code > worst_code ? code : worst_code;
    }
  return worst_code;
}

enum ctl_exit
command_apply (struct ctl *ctl, int argc, char **argv)
{
  struct ctl_objects objects;
  struct change *changes;
  size_t count;
  enum ctl_exit code;

  if (!ctl_objects_load (ctl, &objects, argv, argc))
    return CTL_FINDINGS;
  count = json_array_size (objects.items);
  changes = g_new0 (struct change, count + 1);
  for (size_t i = 0; i < count; i++)
    change_init (&changes[i], json_array_get (objects.items, i));
  code = apply_all (ctl, changes, count);
  if (code == CTL_OK)
    puts (ctl->timeout_ms > 0 ? "in force everywhere" : "written");
  for (size_t i = 0; i < count; i++)
    json_decref (changes[i].current);
  g_free (changes);
  ctl_objects_clear (&objects);
  return code;
}
