/**
 * Decides which pieces of stage work share a call and which endpoint gets it.
 */
package org.fulmargap.batch;
