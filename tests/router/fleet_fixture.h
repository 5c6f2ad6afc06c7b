/** @file
 * A small configuration for router tests.
 */
#ifndef TESTS_ROUTER_FLEET_FIXTURE_H
#define TESTS_ROUTER_FLEET_FIXTURE_H

#include "beryl/config.h"

/** Endpoints p1, p2 (prefill) and d1, d2 (decode, SLOTS slots each) of the
 * service "advice", and s1, s2 of the plain service "status". */
struct fleet_fixture
{
  struct beryl_config config;
  struct beryl_service services[2];
  struct beryl_model model;
  struct beryl_organisation organisations[3];
  struct beryl_endpoint endpoints[6];
};

/** Initialise FIXTURE, which must not be moved afterwards. */
void fleet_fixture_init (struct fleet_fixture *fixture, uint32_t slots);

#endif
