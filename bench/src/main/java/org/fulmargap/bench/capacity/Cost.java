package org.fulmargap.bench.capacity;

/**
 * Cost of one kind of state at one size.
 *
 * @param heapBytes bytes of heap that the state retains, zero if it retains none
 * @param operationMicros microseconds of one operation on the state
 * @param wireBytes bytes of its message or record, zero if it has none
 */
record Cost(double heapBytes, double operationMicros, double wireBytes) {

}
