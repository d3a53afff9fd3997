/**
 * The entry VM on the users' platform: start and shutdown, the watch of the store, the
 * log, the metrics and the readiness probe.
 */
package org.fulmargap.entry;
