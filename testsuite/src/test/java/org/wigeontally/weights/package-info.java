/**
 * Tests of the spreading and activation of weights.
 */
package org.wigeontally.weights;
