/**
 * Types shared by all other packages: identifiers, resources, guarantees and refusals.
 */
package org.almondmount.model;
