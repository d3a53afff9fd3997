/**
 * Batching of the work items of stage services, and admission of pipeline requests by the
 * expected time of their stages.
 */
package org.fulmargap.batch;
