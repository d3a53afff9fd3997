/**
 * The entry VM on the users' platform: starts and stops, watches the store, says when it
 * is ready.
 */
package org.fulmargap.entry;
