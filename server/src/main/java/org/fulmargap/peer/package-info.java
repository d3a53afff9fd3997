/**
 * Connections between entry VMs.
 */
package org.fulmargap.peer;
