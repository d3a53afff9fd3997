/**
 * Who is in the fleet of entry VMs, who relays state for whom, and which VM coordinates
 * which stage service.
 */
package org.fulmargap.fleet;
