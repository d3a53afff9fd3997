/**
 * Decides which work items of stage work share a call and which endpoint gets it.
 */
package org.fulmargap.batch;
