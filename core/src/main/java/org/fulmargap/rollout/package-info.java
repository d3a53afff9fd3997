/**
 * Rollouts: how the traffic of a service moves from one software version of its endpoints
 * to another. Decisions only, without network and clock.
 */
package org.fulmargap.rollout;
