/**
 * Rollouts at an entry VM: which software version its requests go to, and the duty of the
 * VM that coordinates a service.
 */
package org.fulmargap.entry.rollout;
