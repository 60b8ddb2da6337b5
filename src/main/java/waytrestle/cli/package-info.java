/** The commands of {@code bin/waytrestle}: each reads its options and starts what does the work. */
package waytrestle.cli;
