/**
 * Events of an entry VM, kept in a bounded ring and written as log lines.
 */
package org.fulmargap.timeline;
