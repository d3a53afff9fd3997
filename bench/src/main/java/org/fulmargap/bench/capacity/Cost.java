package org.fulmargap.bench.capacity;

/**
 * Measured cost of one kind of control state at one size.
 *
 * @param heapBytes the heap that the state retains in bytes, zero if it is not measured
 * @param operationMicros the duration of one operation on the state in microseconds
 * @param wireBytes the size of its message or record in bytes, zero if it has none
 */
record Cost(double heapBytes, double operationMicros, double wireBytes) {

}
