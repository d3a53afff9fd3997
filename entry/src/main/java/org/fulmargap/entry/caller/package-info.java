/**
 * The HTTP server for callers.
 */
package org.fulmargap.entry.caller;
