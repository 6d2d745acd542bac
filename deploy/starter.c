/* Runs the Python interpreter and ignores SIGHUP, the signal of changed settings, from the start.
 *
 * The signal terminates a process that neither ignores nor handles it.  Python takes several
 * milliseconds to reach the first line of a script, most of them to load and initialise the
 * interpreter.  This program therefore ignores the signal before it loads the interpreter.
 *
 * LIBPYTHON is the path of Python's shared library; where it is not defined, Python is linked
 * statically.
 */

#include <signal.h>
#include <stdio.h>

#ifdef LIBPYTHON
#include <dlfcn.h>

static int run_python(int argc, char **argv)
{
    int (*run)(int, char **) = NULL;
    /* Extension modules resolve the interpreter's symbols in the global scope. */
    void *library = dlopen(LIBPYTHON, RTLD_NOW | RTLD_GLOBAL);

    if (library != NULL)
        run = (int (*)(int, char **))dlsym(library, "Py_BytesMain");
    if (run == NULL) {
        fprintf(stderr, "the interpreter can't be loaded: %s\n", dlerror());
        return 1;
    }
    return run(argc, argv);
}
#else
extern int Py_BytesMain(int argc, char **argv);

static int run_python(int argc, char **argv)
{
    return Py_BytesMain(argc, argv);
}
#endif

int main(int argc, char **argv)
{
    signal(SIGHUP, SIG_IGN);
    return run_python(argc, argv);
}
