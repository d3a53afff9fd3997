/**
 * The connections of callers.
 */
package org.fulmargap.entry.caller;
