package boragering.standins

/** Starts the program. */
fun main(arguments: Array<String>) {
    println(arguments.size)
}
