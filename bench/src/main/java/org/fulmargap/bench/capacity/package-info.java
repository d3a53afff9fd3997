/**
 * Measurement of how the cost of control state grows with the size of the system.
 */
package org.fulmargap.bench.capacity;
