/**
 * Links between entry VMs.
 */
package org.fulmargap.entry.peer;
