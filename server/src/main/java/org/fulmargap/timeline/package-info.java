/**
 * Events of an entry VM, stored in a bounded buffer and written to the log.
 */
package org.fulmargap.timeline;
