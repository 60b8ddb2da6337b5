/**
 * Entry point of the program, {@link waytrestle.Main}, and the byte sequence that its packages
 * share, {@link waytrestle.Bytes}.
 */
package waytrestle;
