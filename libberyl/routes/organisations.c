#include "private.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#include "beryl/engine_load.h"

#define DIGEST_BYTES 32

/* Keys are compared by digests under a secret, so that the time of a look-up
 * tells a caller nothing about a key that it has not. */
struct beryl_route_key
{
  unsigned char digest[DIGEST_BYTES];
  uint32_t organisation; /* index; after organisations_freeze the sorted one */
};

void
organisations_init (struct beryl_routes *routes)
{
  EVP_MAC *mac = EVP_MAC_fetch (NULL, "HMAC", NULL);
  char digest[] = "SHA256";
  OSSL_PARAM params[]
      = { OSSL_PARAM_construct_utf8_string (OSSL_MAC_PARAM_DIGEST, digest, 0),
          OSSL_PARAM_construct_end () };
  unsigned char secret[DIGEST_BYTES];

  routes->key_mac = EVP_MAC_CTX_new (mac);
  EVP_MAC_free (mac);
  if (routes->key_mac == NULL || RAND_bytes (secret, sizeof secret) != 1
      || EVP_MAC_init (routes->key_mac, secret, sizeof secret, params) != 1)
    abort ();
  OPENSSL_cleanse (secret, sizeof secret);
}

void
organisations_clear (struct beryl_routes *routes)
{
  EVP_MAC_CTX_free (routes->key_mac);
}

size_t
beryl_routes_add_organisation (struct beryl_routes *routes,
                               const struct beryl_route_organisation *added)
{
  size_t index = routes->organisation_count++;

  routes->organisations
      = realloc (routes->organisations,
                 routes->organisation_count * sizeof *routes->organisations);
  routes->organisations[index] = *added;
  /* The position at which it was added, until organisations_freeze. */
  routes->organisations[index].id = (uint32_t)index;
  return index;
}

static void
digest_key (const struct beryl_routes *routes, const char *key,
            unsigned char digest[DIGEST_BYTES])
{
  size_t bytes;

  /* Set up with the secret once, as that costs more than a key. */
  if (EVP_MAC_init (routes->key_mac, NULL, 0, NULL) != 1
      || EVP_MAC_update (routes->key_mac, (const unsigned char *)key,
                         strlen (key))
             != 1
      || EVP_MAC_final (routes->key_mac, digest, &bytes, DIGEST_BYTES) != 1)
    abort ();
}

void
beryl_routes_add_key (struct beryl_routes *routes, size_t organisation,
                      const char *key)
{
  struct beryl_route_key *added;

  routes->keys
      = realloc (routes->keys, (routes->key_count + 1) * sizeof *routes->keys);
  added = &routes->keys[routes->key_count++];
  digest_key (routes, key, added->digest);
  added->organisation = (uint32_t)organisation;
}

static int
compare_names (const void *a, const void *b)
{
  const struct beryl_route_organisation *left = a, *right = b;
  uint32_t left_hash = beryl_name_hash (left->name);
  uint32_t right_hash = beryl_name_hash (right->name);

  if (left_hash != right_hash)
    return left_hash < right_hash ? -1 : 1;
  return strcmp (left->name, right->name);
}

static int
compare_digests (const void *a, const void *b)
{
  return memcmp (((const struct beryl_route_key *)a)->digest,
                 ((const struct beryl_route_key *)b)->digest, DIGEST_BYTES);
}

/* The id is the hash of the name, so that all nodes have the same; names with
 * one hash get consecutive ids. */
static bool
assign_ids (struct beryl_routes *routes)
{
  struct beryl_route_organisation *items = routes->organisations;
  bool unique = true;

  for (size_t i = 0; i < routes->organisation_count; i++)
    {
      items[i].id = beryl_name_hash (items[i].name);
      if (i == 0)
        continue;
      if (items[i].id <= items[i - 1].id)
        items[i].id = items[i - 1].id + 1;
      unique = unique && strcmp (items[i].name, items[i - 1].name) != 0;
    }
  return unique;
}

static bool
sort_keys (struct beryl_routes *routes)
{
  struct beryl_route_key *keys = routes->keys;

  if (routes->key_count == 0)
    return true;
  qsort (keys, routes->key_count, sizeof *keys, compare_digests);
  for (size_t i = 1; i < routes->key_count; i++)
    if (compare_digests (&keys[i], &keys[i - 1]) == 0
        && keys[i].organisation != keys[i - 1].organisation)
      return false;
  return true;
}

bool
organisations_freeze (struct beryl_routes *routes)
{
  uint32_t *sorted_index;
  bool unique;

  if (routes->organisation_count == 0)
    return true;
  sorted_index = malloc (routes->organisation_count * sizeof *sorted_index);
  qsort (routes->organisations, routes->organisation_count,
         sizeof *routes->organisations, compare_names);
  for (size_t i = 0; i < routes->organisation_count; i++)
    sorted_index[routes->organisations[i].id] = (uint32_t)i;
  for (size_t i = 0; i < routes->key_count; i++)
    routes->keys[i].organisation = sorted_index[routes->keys[i].organisation];
  free (sorted_index);
  unique = assign_ids (routes);
  return sort_keys (routes) && unique;
}

const struct beryl_route_organisation *
beryl_routes_authenticate (const struct beryl_routes *routes, const char *key)
{
  struct beryl_route_key wanted = { 0 };
  const struct beryl_route_key *found;

  if (routes->key_count == 0)
    return NULL;
  digest_key (routes, key, wanted.digest);
  found = bsearch (&wanted, routes->keys, routes->key_count,
                   sizeof *routes->keys, compare_digests);
  return found != NULL ? &routes->organisations[found->organisation] : NULL;
}

const struct beryl_route_organisation *
beryl_routes_find_organisation (const struct beryl_routes *routes,
                                const char *name)
{
  for (size_t i = 0; i < routes->organisation_count; i++)
    if (strcmp (routes->organisations[i].name, name) == 0)
      return &routes->organisations[i];
  return NULL;
}

uint32_t
beryl_routes_rank (const struct beryl_route *route,
                   const struct beryl_route_organisation *organisation)
{
  return organisation != NULL && organisation->has_rank ? organisation->rank
                                                        : route->rank;
}
