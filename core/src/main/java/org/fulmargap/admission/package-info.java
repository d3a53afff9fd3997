/**
 * Admission of requests, retry budgets and time budgets of stages.
 */
package org.fulmargap.admission;
