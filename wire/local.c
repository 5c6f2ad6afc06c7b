#include "wire/local.h"

#include <stdlib.h>
#include <string.h>

/* Bounds of a message, against a peer gone wrong. */
#define MEMBERS_MAX 4096
#define LEAVING_MAX 65536
#define HOLDS_MAX 65536
#define LOADS_MAX 4096

enum hello_field
{
  HELLO_INCARNATION = 1,
  HELLO_HTTP_PORT,
  HELLO_PEER_PORT,
};

enum view_field
{
  VIEW_CONFIG_VERSION = 1,
  VIEW_OBJECTS,
  VIEW_MEMBERS,
  VIEW_LEAVING,
  VIEW_STALE_MS,
  VIEW_ISOLATED,
};

enum member_field
{
  MEMBER_NODE = 1,
  MEMBER_INCARNATION,
  MEMBER_ADDRESS,
  MEMBER_HTTP_PORT,
  MEMBER_PEER_PORT,
  MEMBER_DATA_CENTRE,
  MEMBER_REGION,
  MEMBER_STATE,
};

enum list_field
{
  LIST_ITEMS = 1,
};

enum hold_field
{
  HOLD_ENDPOINT = 1,
  HOLD_INCARNATION,
  HOLD_FROM,
  HOLD_TO,
};

enum applied_field
{
  APPLIED_CONFIG_VERSION = 1,
};

enum load_field
{
  LOAD_SERVICE = 1,
  LOAD_ARRIVED,
  LOAD_WAITING,
  LOAD_RUNNING,
  LOAD_PROMPT_TOKENS,
  LOAD_OUTPUT_TOKENS,
};

static void
put_hello (struct frame_writer *writer, const struct local_hello *hello)
{
  frame_put_uint (writer, HELLO_INCARNATION, hello->incarnation);
  frame_put_uint (writer, HELLO_HTTP_PORT, hello->http_port);
  frame_put_uint (writer, HELLO_PEER_PORT, hello->peer_port);
}

static void
put_member (struct frame_writer *writer, const struct local_member *m)
{
  frame_put_map (writer, 0);
  frame_put_string (writer, MEMBER_NODE, m->node);
  frame_put_uint (writer, MEMBER_INCARNATION, m->incarnation);
  frame_put_string (writer, MEMBER_ADDRESS, m->address);
  frame_put_uint (writer, MEMBER_HTTP_PORT, m->http_port);
  frame_put_uint (writer, MEMBER_PEER_PORT, m->peer_port);
  frame_put_string (writer, MEMBER_DATA_CENTRE, m->data_centre);
  frame_put_string (writer, MEMBER_REGION, m->region);
  frame_put_uint (writer, MEMBER_STATE, m->state);
  frame_put_end (writer);
}

static void
put_view (struct frame_writer *writer, const struct local_view *view)
{
  frame_put_uint (writer, VIEW_CONFIG_VERSION, view->config_version);
  if (view->objects_json != NULL)
    frame_put_bytes (writer, VIEW_OBJECTS, view->objects_json,
                     view->objects_bytes);
  frame_put_array (writer, VIEW_MEMBERS);
  for (size_t i = 0; i < view->member_count; i++)
    put_member (writer, &view->members[i]);
  frame_put_end (writer);
  frame_put_array (writer, VIEW_LEAVING);
  for (size_t i = 0; i < view->leaving_count; i++)
    frame_put_string (writer, 0, view->leaving[i]);
  frame_put_end (writer);
  frame_put_int (writer, VIEW_STALE_MS, view->stale_ms);
  frame_put_bool (writer, VIEW_ISOLATED, view->isolated);
}

static void
put_holds (struct frame_writer *writer, const struct local_holds *holds)
{
  frame_put_array (writer, LIST_ITEMS);
  for (size_t i = 0; i < holds->count; i++)
    {
      const struct local_hold *h = &holds->items[i];

      frame_put_map (writer, 0);
      frame_put_string (writer, HOLD_ENDPOINT, h->endpoint);
      frame_put_uint (writer, HOLD_INCARNATION, h->incarnation);
      frame_put_uint (writer, HOLD_FROM, h->from);
      frame_put_uint (writer, HOLD_TO, h->to);
      frame_put_end (writer);
    }
  frame_put_end (writer);
}

static void
put_loads (struct frame_writer *writer, const struct local_loads *loads)
{
  frame_put_array (writer, LIST_ITEMS);
  for (size_t i = 0; i < loads->count; i++)
    {
      const struct local_load *l = &loads->items[i];

      frame_put_map (writer, 0);
      frame_put_string (writer, LOAD_SERVICE, l->service);
      frame_put_uint (writer, LOAD_ARRIVED, l->arrived);
      frame_put_uint (writer, LOAD_WAITING, l->waiting);
      frame_put_uint (writer, LOAD_RUNNING, l->running);
      frame_put_uint (writer, LOAD_PROMPT_TOKENS, l->prompt_tokens);
      frame_put_uint (writer, LOAD_OUTPUT_TOKENS, l->output_tokens);
      frame_put_end (writer);
    }
  frame_put_end (writer);
}

void
local_put (struct frame_writer *writer, const struct local_message *message)
{
  frame_writer_reset (writer, (uint16_t)message->type);
  switch (message->type)
    {
    case LOCAL_HELLO:
      put_hello (writer, &message->hello);
      return;
    case LOCAL_VIEW:
      put_view (writer, &message->view);
      return;
    case LOCAL_HOLDS:
      put_holds (writer, &message->holds);
      return;
    case LOCAL_LOAD:
      put_loads (writer, &message->loads);
      return;
    case LOCAL_LEAVE:
      return;
    case LOCAL_APPLIED:
      frame_put_uint (writer, APPLIED_CONFIG_VERSION,
                      message->applied.config_version);
      return;
    }
}

/* Returns zeroed room for COUNT items, or NULL with the frame failed. */
static void *
read_room (struct frame *frame, uint32_t count, uint32_t most, size_t bytes)
{
  void *items;

  if (count == 0)
    return NULL;
  items = count <= most ? calloc (count, bytes) : NULL;
  if (items == NULL)
    frame_fail (frame);
  return items;
}

static uint16_t
read_port (struct frame_map map, uint32_t key)
{
  uint64_t port = frame_uint (map, key, 0);

  if (port > UINT16_MAX)
    frame_fail (map.frame);
  return (uint16_t)port;
}

static uint32_t
read_uint32 (struct frame_map map, uint32_t key)
{
  uint64_t value = frame_uint (map, key, 0);

  if (value > UINT32_MAX)
    frame_fail (map.frame);
  return (uint32_t)value;
}

static void
read_hello (struct frame_map map, struct local_hello *hello)
{
  hello->incarnation = frame_need_uint (map, HELLO_INCARNATION);
  hello->http_port = read_port (map, HELLO_HTTP_PORT);
  hello->peer_port = read_port (map, HELLO_PEER_PORT);
}

static void
read_member (struct frame_map map, struct local_member *m)
{
  uint64_t state = frame_uint (map, MEMBER_STATE, LOCAL_MEMBER_LIVE);

  frame_need_string (map, MEMBER_NODE, m->node, sizeof m->node);
  m->incarnation = frame_need_uint (map, MEMBER_INCARNATION);
  frame_need_string (map, MEMBER_ADDRESS, m->address, sizeof m->address);
  m->http_port = read_port (map, MEMBER_HTTP_PORT);
  m->peer_port = read_port (map, MEMBER_PEER_PORT);
  frame_string (map, MEMBER_DATA_CENTRE, m->data_centre,
                sizeof m->data_centre);
  frame_string (map, MEMBER_REGION, m->region, sizeof m->region);
  if (state > LOCAL_MEMBER_LEAVING)
    frame_fail (map.frame);
  m->state = (enum local_member_state)state;
}

static void
read_objects (struct frame_map map, struct local_view *view)
{
  size_t bytes_count = 0;
  const void *bytes = frame_bytes (map, VIEW_OBJECTS, &bytes_count);

  if (bytes == NULL)
    return;
  view->objects_json = malloc (bytes_count + 1);
  if (view->objects_json == NULL)
    {
      frame_fail (map.frame);
      return;
    }
  memcpy (view->objects_json, bytes, bytes_count);
  view->objects_json[bytes_count] = '\0';
  view->objects_bytes = bytes_count;
}

static void
read_view (struct frame_map map, struct local_view *view)
{
  struct frame_array members = frame_array (map, VIEW_MEMBERS);
  struct frame_array leaving = frame_array (map, VIEW_LEAVING);

  view->config_version = frame_need_uint (map, VIEW_CONFIG_VERSION);
  read_objects (map, view);
  view->members = read_room (map.frame, members.count, MEMBERS_MAX,
                             sizeof *view->members);
  for (uint32_t i = 0; view->members != NULL && i < members.count; i++)
    read_member (frame_array_map (members, i),
                 &view->members[view->member_count++]);
  view->leaving = read_room (map.frame, leaving.count, LEAVING_MAX,
                             sizeof *view->leaving);
  for (uint32_t i = 0; view->leaving != NULL && i < leaving.count; i++)
    frame_array_string (leaving, i, view->leaving[view->leaving_count++],
                        sizeof *view->leaving);
  view->stale_ms = frame_int (map, VIEW_STALE_MS, 0);
  view->isolated = frame_bool (map, VIEW_ISOLATED, false);
}

static void
read_holds (struct frame_map map, struct local_holds *holds)
{
  struct frame_array items = frame_array (map, LIST_ITEMS);

  holds->items
      = read_room (map.frame, items.count, HOLDS_MAX, sizeof *holds->items);
  for (uint32_t i = 0; holds->items != NULL && i < items.count; i++)
    {
      struct frame_map item = frame_array_map (items, i);
      struct local_hold *h = &holds->items[holds->count++];

      frame_need_string (item, HOLD_ENDPOINT, h->endpoint, sizeof h->endpoint);
      h->incarnation = frame_need_uint (item, HOLD_INCARNATION);
      h->from = frame_need_uint (item, HOLD_FROM);
      h->to = frame_need_uint (item, HOLD_TO);
    }
}

static void
read_loads (struct frame_map map, struct local_loads *loads)
{
  struct frame_array items = frame_array (map, LIST_ITEMS);

  loads->items
      = read_room (map.frame, items.count, LOADS_MAX, sizeof *loads->items);
  for (uint32_t i = 0; loads->items != NULL && i < items.count; i++)
    {
      struct frame_map item = frame_array_map (items, i);
      struct local_load *l = &loads->items[loads->count++];

      frame_need_string (item, LOAD_SERVICE, l->service, sizeof l->service);
      l->arrived = read_uint32 (item, LOAD_ARRIVED);
      l->waiting = read_uint32 (item, LOAD_WAITING);
      l->running = read_uint32 (item, LOAD_RUNNING);
      l->prompt_tokens = frame_uint (item, LOAD_PROMPT_TOKENS, 0);
      l->output_tokens = frame_uint (item, LOAD_OUTPUT_TOKENS, 0);
    }
}

bool
local_read (struct frame *frame, struct local_message *message)
{
  struct frame_map map = frame_root (frame);

  memset (message, 0, sizeof *message);
  message->type = (enum local_type)frame_type (frame);
  switch (message->type)
    {
    case LOCAL_HELLO:
      read_hello (map, &message->hello);
      break;
    case LOCAL_VIEW:
      read_view (map, &message->view);
      break;
    case LOCAL_HOLDS:
      read_holds (map, &message->holds);
      break;
    case LOCAL_LOAD:
      read_loads (map, &message->loads);
      break;
    case LOCAL_LEAVE:
      break;
    case LOCAL_APPLIED:
      message->applied.config_version
          = frame_need_uint (map, APPLIED_CONFIG_VERSION);
      break;
    default:
      return false;
    }
  return frame_valid (frame);
}

void
local_message_clear (struct local_message *message)
{
  switch (message->type)
    {
    case LOCAL_VIEW:
      free (message->view.objects_json);
      free (message->view.members);
      free (message->view.leaving);
      break;
    case LOCAL_HOLDS:
      free (message->holds.items);
      break;
    case LOCAL_LOAD:
      free (message->loads.items);
      break;
    default:
      break;
    }
  memset (message, 0, sizeof *message);
}
